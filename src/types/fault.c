#include "types/fault.h"

/* Return the name of KIND for machine-readable output.  */
const char *
fault_kind_name (enum fault_kind kind)
{
  switch (kind)
    {
    case FAULT_SYNTAX:
      return "syntax";
    case FAULT_KIND:
      return "unknown-kind";
    case FAULT_UNKNOWN:
      return "unknown-key";
    case FAULT_MISSING:
      return "missing-key";
    case FAULT_DUPLICATE:
      return "duplicate";
    case FAULT_DANGLING:
      return "dangling-reference";
    case FAULT_RANGE:
      return "out-of-range";
    case FAULT_VALUE:
      return "bad-value";
    case FAULT_FIXED:
      return "fixed";
    case FAULT_OVERLAP:
      return "overlap";
    case FAULT_FILE:
      return "unreadable-file";
    }
  return "unnamed";
}

/* Format an error on one line: file, line, section, key, kind and value. Free
   the text with g_free.  */
char *
fault_format (const struct fault *fault)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "%s:%u: [%s] %s: %s", fault->file, fault->line,
                          fault->section, fault->key[0] ? fault->key : "-",
                          fault_kind_name (fault->kind));
  if (fault->value[0] != '\0')
    g_string_append_printf (text, " '%s'", fault->value);
  if (fault->kind == FAULT_RANGE)
    g_string_append_printf (text,
                            " (%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT ")",
                            fault->low, fault->high);
  return g_string_free (text, FALSE);
}

/* Append an empty error of KIND to ERRORS, an array of struct config_error.
   The returned pointer is valid until the next call.  */
struct fault *
fault_add (GArray *faults, enum fault_kind kind)
{
  struct fault fault = { .kind = kind };

  g_array_append_val (faults, fault);
  return &g_array_index (faults, struct fault, faults->len - 1);
}
