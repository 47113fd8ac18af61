#include "types/config_error.h"

/* Name a kind of fault for machine-readable output.  */
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

/* Write FAULT on one line: file, line, section, key, reason and value.  Free
   the text with g_free.  */
char *
config_error_format (const struct config_error *config_error)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "%s:%u: [%s] %s: %s", config_error->file,
                          config_error->line, config_error->section,
                          config_error->key[0] ? config_error->key : "-",
                          config_error_kind_name (config_error->kind));
  if (config_error->value[0] != '\0')
    g_string_append_printf (text, " '%s'", config_error->value);
  if (config_error->kind == CONFIG_ERROR_RANGE)
    g_string_append_printf (text,
                            " (%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT ")",
                            config_error->low, config_error->high);
  return g_string_free (text, FALSE);
}

/* Add an empty fault of KIND to FAULTS, an array of struct fault; good until
   the next addition.  */
struct config_error *
config_error_add (GArray *errors, enum config_error_kind kind)
{
  struct config_error config_error = { .kind = kind };

  g_array_append_val (errors, config_error);
  return &g_array_index (errors, struct config_error, errors->len - 1);
}
