#include "types/ini.h"

#include "types/address.h"

#include <string.h>

/* Tell whether WORD is one of the words in LIST, which are separated by
   '|'.  */
static gboolean
is_in_list (const char *word, const char *list)
{
  char **words = g_strsplit (list, "|", -1);
  gboolean found = word != NULL && word[0] != '\0'
                   && g_strv_contains ((const char *const *)words, word);

  g_strfreev (words);
  return found;
}

/* Tell whether TEXT is a valid name.  */
static gboolean
is_name (const char *text)
{
  const char *c;

  for (c = text; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr ("-_.", *c) == NULL)
      return FALSE;
  return text[0] != '\0' && strlen (text) < NAME_SIZE;
}

/* Tell whether TEXT is a decimal number of at least zero.  */
static gboolean
is_decimal (const char *text)
{
  char *end = NULL;

  return g_ascii_strtod (text, &end) >= 0 && end != text && *end == '\0';
}

/* Check that VALUE is a number within the range of FIELD.  */
static void
check_number (const struct ini *ini, const struct ini_section *section,
              const struct ini_field *field, const char *value, GArray *faults)
{
  gint64 number = 0;
  GError *error = NULL;
  struct fault *fault;

  if (g_ascii_string_to_signed (value, 10, field->low, field->high, &number,
                                &error))
    return;
  fault = ini_fault (ini, faults,
                     error->code == G_NUMBER_PARSER_ERROR_OUT_OF_BOUNDS
                         ? FAULT_RANGE
                         : FAULT_VALUE,
                     section, field->key, value);
  fault->low = field->low;
  fault->high = field->high;
  g_error_free (error);
}

/* Check that VALUE has the type of FIELD.  */
static void
check_value (const struct ini *ini, const struct ini_section *section,
             const struct ini_field *field, const char *value, GArray *faults)
{
  struct address address;
  gboolean is_valid = TRUE;

  switch (field->type)
    {
    case INI_NAME:
      is_valid = is_name (value);
      break;
    case INI_TEXT:
      is_valid = value[0] != '\0'
                 && (field->high == 0 || strlen (value) < (gsize)field->high);
      break;
    case INI_NUMBER:
      check_number (ini, section, field, value, faults);
      break;
    case INI_DECIMAL:
      is_valid = is_decimal (value);
      break;
    case INI_FLAG:
      is_valid = is_in_list (value, "yes|no");
      break;
    case INI_ADDRESS:
      is_valid = address_parse (value, &address) == ERR_NONE;
      break;
    case INI_CHOICE:
      is_valid = is_in_list (value, field->choices);
      break;
    }
  if (!is_valid)
    ini_fault (ini, faults, FAULT_VALUE, section, field->key, value);
}

/* Find the field KEY of a section of KIND, or return NULL.  */
static const struct ini_field *
find_field (const struct ini_schema *schema, const char *kind, const char *key)
{
  guint i;

  for (i = 0; i < schema->count; i++)
    if (strcmp (schema->fields[i].kind, kind) == 0
        && strcmp (schema->fields[i].key, key) == 0)
      return &schema->fields[i];
  return NULL;
}

/* Check the keys that SECTION has.  */
static void
check_keys (const struct ini *ini, const struct ini_section *section,
            const struct ini_schema *schema, GArray *faults)
{
  char group[2 * NAME_SIZE];
  char **keys = g_key_file_get_keys (
      ini->keys, ini_group (section, group, sizeof group), NULL, NULL);
  guint i;

  for (i = 0; keys != NULL && keys[i] != NULL; i++)
    {
      const struct ini_field *field
          = find_field (schema, section->kind, keys[i]);
      char *value = ini_text (ini, section, keys[i]);
      if (field == NULL)
        ini_fault (ini, faults, FAULT_UNKNOWN, section, keys[i], NULL);
      else
        check_value (ini, section, field, value, faults);
      g_free (value);
    }
  g_strfreev (keys);
}

/* Check that SECTION has all its required keys.  */
static void
check_required (const struct ini *ini, const struct ini_section *section,
                const struct ini_schema *schema, GArray *faults)
{
  char group[2 * NAME_SIZE];
  guint i;

  ini_group (section, group, sizeof group);
  for (i = 0; i < schema->count; i++)
    if (schema->fields[i].required
        && strcmp (schema->fields[i].kind, section->kind) == 0
        && !g_key_file_has_key (ini->keys, group, schema->fields[i].key, NULL))
      ini_fault (ini, faults, FAULT_MISSING, section, schema->fields[i].key,
                 NULL);
}

/* Check the kind and name of SECTION.  Return FALSE if the kind is
   unknown.  */
static gboolean
check_kind (const struct ini *ini, const struct ini_section *section,
            const struct ini_schema *schema, GArray *faults)
{
  if (is_in_list (section->kind, schema->named_kinds))
    {
      if (!is_name (section->name))
        ini_fault (ini, faults, FAULT_VALUE, section, NULL, section->name);
      return TRUE;
    }
  if (is_in_list (section->kind, schema->single_kinds)
      && section->name[0] == '\0')
    return TRUE;
  ini_fault (ini, faults, FAULT_KIND, section, NULL, section->kind);
  return FALSE;
}

/* Check the title, the keys and the required keys of SECTION.  Each error is
   appended to ERRORS.  */
void
ini_check_section (const struct ini *ini, const struct ini_section *section,
                   const struct ini_schema *schema, GArray *faults)
{
  if (!check_kind (ini, section, schema, faults))
    return;
  check_keys (ini, section, schema, faults);
  check_required (ini, section, schema, faults);
}

/* Tell whether INI has a section of KIND.  */
static gboolean
has_section (const struct ini *ini, const char *kind)
{
  guint i;

  for (i = 0; i < ini->sections->len; i++)
    if (strcmp (g_array_index (ini->sections, struct ini_section, i).kind,
                kind)
        == 0)
      return TRUE;
  return FALSE;
}

/* Append an error for each of the COUNT KINDS of section that INI lacks.  */
void
ini_need (const struct ini *ini, const char *const *kinds, guint count,
          GArray *faults)
{
  guint i;

  for (i = 0; i < count; i++)
    {
      struct ini_section missing = { 0 };
      g_strlcpy (missing.kind, kinds[i], sizeof missing.kind);
      if (!has_section (ini, kinds[i]))
        ini_fault (ini, faults, FAULT_MISSING, &missing, NULL, NULL);
    }
}
