#include "decide/rule.h"

#include <string.h>

/* Tell whether RULE takes METHOD.  */
static gboolean
takes_method (const struct config_rule *rule, const char *method)
{
  char **methods;
  gboolean found;

  if (rule->methods[0] == '\0')
    return TRUE;
  methods = g_strsplit (rule->methods, ",", -1);
  found = g_strv_contains ((const char *const *)methods, method);
  g_strfreev (methods);
  return found;
}

/* Copy segment NUMBER (from 1) of PATH to KEY; FALSE if it is empty or too
   long.  */
static gboolean
copy_segment (const char *path, guint32 number, char *key, gsize size)
{
  const char *start = path;
  gsize length;

  while (number > 0)
    {
      start = strchr (start, '/');
      if (start == NULL)
        return FALSE;
      start++;
      number--;
    }
  length = strcspn (start, "/?");
  if (length == 0 || length >= size)
    return FALSE;
  memcpy (key, start, length);
  key[length] = '\0';
  return TRUE;
}

/* Find the rule with the longest path that METHOD and PATH match.  */
static const struct config_rule *
longest_rule (const struct config *config, const char *method,
              const char *path)
{
  const struct config_rule *best = NULL;
  guint i;

  for (i = 0; i < config->rules->len; i++)
    {
      const struct config_rule *rule
          = &g_array_index (config->rules, struct config_rule, i);
      if (g_str_has_prefix (path, rule->path_prefix)
          && takes_method (rule, method)
          && (best == NULL
              || strlen (rule->path_prefix) > strlen (best->path_prefix)))
        best = rule;
    }
  return best;
}

/* Fill in the service, key, class and priority of REQUEST from the rule that
   METHOD and PATH fall under.  HEADER is called with DATA.  Return
   REASON_NO_RULE or REASON_NO_KEY if that cannot be done.  */
enum reason
rule_match (const struct config *config, const char *method, const char *path,
            rule_header_fn *header, gpointer data, struct request *request)
{
  const struct config_rule *rule = longest_rule (config, method, path);
  const char *value;

  if (rule == NULL)
    return REASON_NO_RULE;
  g_strlcpy (request->service, rule->service, sizeof request->service);
  request->run_class = rule->run_class;
  request->priority = rule->priority;
  request->key[0] = '\0';
  switch (rule->key_source)
    {
    case KEY_NONE:
      break;
    case KEY_SEGMENT:
      if (!copy_segment (path, rule->key_segment, request->key,
                         sizeof request->key))
        return REASON_NO_KEY;
      break;
    case KEY_HEADER:
      value = header (data, rule->key_header);
      if (value == NULL || value[0] == '\0'
          || strlen (value) >= sizeof request->key)
        return REASON_NO_KEY;
      g_strlcpy (request->key, value, sizeof request->key);
      break;
    }
  return REASON_NONE;
}
