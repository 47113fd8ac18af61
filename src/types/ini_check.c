#include "types/ini.h"

#include "types/address.h"

#include <string.h>

/* Tell whether WORD stands in LIST, words with '|' between.  */
static gboolean
word_in (const char *word, const char *list)
{
  char **words = g_strsplit (list, "|", -1);
  gboolean found = word != NULL && word[0] != '\0'
                   && g_strv_contains ((const char *const *)words, word);

  g_strfreev (words);
  return found;
}

/* Tell whether TEXT is a name.  */
static gboolean
is_name (const char *text)
{
  const char *c;

  for (c = text; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr ("-_.", *c) == NULL)
      return FALSE;
  return text[0] != '\0' && strlen (text) < NAME_SIZE;
}

/* Tell whether TEXT is a number that is not below zero.  */
static gboolean
is_decimal (const char *text)
{
  char *end = NULL;

  return g_ascii_strtod (text, &end) >= 0 && end != text && *end == '\0';
}

/* Check that VALUE is a number within the bounds of FIELD.  */
static void
check_number (const struct ini *ini, const struct ini_section *section,
              const struct ini_field *field, const char *value, GArray *errors)
{
  gint64 number = 0;
  GError *error = NULL;
  struct config_error *config_error;

  if (g_ascii_string_to_signed (value, 10, field->low, field->high, &number,
                                &error))
    return;
  config_error = ini_add_error (
      ini, errors,
      error->code == G_NUMBER_PARSER_ERROR_OUT_OF_BOUNDS ? CONFIG_ERROR_RANGE
                                                         : CONFIG_ERROR_VALUE,
      section, field->key, value);
  config_error->low = field->low;
  config_error->high = field->high;
  g_error_free (error);
}

/* Check the form of VALUE against FIELD.  */
static void
check_value (const struct ini *ini, const struct ini_section *section,
             const struct ini_field *field, const char *value, GArray *errors)
{
  struct address address;
  gboolean good = TRUE;

  switch (field->type)
    {
    case INI_NAME:
      good = is_name (value);
      break;
    case INI_TEXT:
      good = value[0] != '\0'
             && (field->high == 0 || strlen (value) < (gsize)field->high);
      break;
    case INI_NUMBER:
      check_number (ini, section, field, value, errors);
      break;
    case INI_DECIMAL:
      good = is_decimal (value);
      break;
    case INI_FLAG:
      good = word_in (value, "yes|no");
      break;
    case INI_ADDRESS:
      good = address_parse (value, &address) == ERR_NONE;
      break;
    case INI_CHOICE:
      good = word_in (value, field->choices);
      break;
    }
  if (!good)
    ini_add_error (ini, errors, CONFIG_ERROR_VALUE, section, field->key,
                   value);
}

/* Find the field of KEY in a section of KIND, or NULL.  */
static const struct ini_field *
find_field (const struct ini_schema *schema, const char *kind, const char *key)
{
  guint i;

  for (i = 0; i < schema->field_count; i++)
    if (strcmp (schema->fields[i].kind, kind) == 0
        && strcmp (schema->fields[i].key, key) == 0)
      return &schema->fields[i];
  return NULL;
}

/* Check the keys that stand in SECTION.  */
static void
check_keys (const struct ini *ini, const struct ini_section *section,
            const struct ini_schema *schema, GArray *errors)
{
  char group[2 * NAME_SIZE];
  char **keys = g_key_file_get_keys (
      ini->key_file, ini_section_title (section, group, sizeof group), NULL,
      NULL);
  guint i;

  for (i = 0; keys != NULL && keys[i] != NULL; i++)
    {
      const struct ini_field *field
          = find_field (schema, section->kind, keys[i]);
      char *value = ini_text (ini, section, keys[i]);
      if (field == NULL)
        ini_add_error (ini, errors, CONFIG_ERROR_UNKNOWN_KEY, section, keys[i],
                       NULL);
      else
        check_value (ini, section, field, value, errors);
      g_free (value);
    }
  g_strfreev (keys);
}

/* Check that the keys SECTION must have are there.  */
static void
check_required (const struct ini *ini, const struct ini_section *section,
                const struct ini_schema *schema, GArray *errors)
{
  char group[2 * NAME_SIZE];
  guint i;

  ini_section_title (section, group, sizeof group);
  for (i = 0; i < schema->field_count; i++)
    if (schema->fields[i].required
        && strcmp (schema->fields[i].kind, section->kind) == 0
        && !g_key_file_has_key (ini->key_file, group, schema->fields[i].key,
                                NULL))
      ini_add_error (ini, errors, CONFIG_ERROR_MISSING, section,
                     schema->fields[i].key, NULL);
}

/* Check the kind and name of SECTION; return FALSE if the kind is unknown. */
static gboolean
check_kind (const struct ini *ini, const struct ini_section *section,
            const struct ini_schema *schema, GArray *errors)
{
  if (word_in (section->kind, schema->named_kinds))
    {
      if (!is_name (section->name))
        ini_add_error (ini, errors, CONFIG_ERROR_VALUE, section, NULL,
                       section->name);
      return TRUE;
    }
  if (word_in (section->kind, schema->single_kinds)
      && section->name[0] == '\0')
    return TRUE;
  ini_add_error (ini, errors, CONFIG_ERROR_UNKNOWN_KIND, section, NULL,
                 section->kind);
  return FALSE;
}

/* Check SECTION: its kind, its keys, and that none is missing.  Each fault is
   added to FAULTS.  */
void
ini_check_section (const struct ini *ini, const struct ini_section *section,
                   const struct ini_schema *schema, GArray *errors)
{
  if (!check_kind (ini, section, schema, errors))
    return;
  check_keys (ini, section, schema, errors);
  check_required (ini, section, schema, errors);
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

/* Add a fault for each of the COUNT KINDS of section that is not there.  */
void
ini_require_sections (const struct ini *ini, const char *const *kinds,
                      guint count, GArray *errors)
{
  guint i;

  for (i = 0; i < count; i++)
    {
      struct ini_section missing = { 0 };
      g_strlcpy (missing.kind, kinds[i], sizeof missing.kind);
      if (!has_section (ini, kinds[i]))
        ini_add_error (ini, errors, CONFIG_ERROR_MISSING, &missing, NULL,
                       NULL);
    }
}
