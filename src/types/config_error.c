#include "types/config_error.h"

/* Return the name of KIND for machine-readable output.  */
const char *
config_error_kind_name (enum config_error_kind kind)
{
  switch (kind)
    {
    case CONFIG_ERROR_SYNTAX:
      return "syntax";
    case CONFIG_ERROR_UNKNOWN_KIND:
      return "unknown-kind";
    case CONFIG_ERROR_UNKNOWN_KEY:
      return "unknown-key";
    case CONFIG_ERROR_MISSING:
      return "missing-key";
    case CONFIG_ERROR_DUPLICATE:
      return "duplicate";
    case CONFIG_ERROR_DANGLING:
      return "dangling-reference";
    case CONFIG_ERROR_RANGE:
      return "out-of-range";
    case CONFIG_ERROR_VALUE:
      return "bad-value";
    case CONFIG_ERROR_IMMUTABLE:
      return "fixed";
    case CONFIG_ERROR_OVERLAP:
      return "overlap";
    case CONFIG_ERROR_FILE:
      return "unreadable-file";
    }
  return "unnamed";
}

/* Format ERROR on one line: file, line, section, key, kind and value.  Free
   the text with g_free.  */
char *
config_error_format (const struct config_error *error)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "%s:%u: [%s] %s: %s", error->file, error->line,
                          error->section, error->key[0] ? error->key : "-",
                          config_error_kind_name (error->kind));
  if (error->value[0] != '\0')
    g_string_append_printf (text, " '%s'", error->value);
  if (error->kind == CONFIG_ERROR_RANGE)
    g_string_append_printf (text,
                            " (%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT ")",
                            error->low, error->high);
  return g_string_free (text, FALSE);
}

/* Append an empty error of KIND to ERRORS, an array of struct config_error.
   The returned pointer is valid until the next call.  */
struct config_error *
config_error_add (GArray *errors, enum config_error_kind kind)
{
  struct config_error error = { .kind = kind };

  g_array_append_val (errors, error);
  return &g_array_index (errors, struct config_error, errors->len - 1);
}
