#include "types/ini.h"

#include <string.h>

/* Read */

/* Write the group name of SECTION into BUFFER and return it.  */
const char *
ini_section_title (const struct ini_section *section, char *buffer, gsize size)
{
  g_snprintf (buffer, (gulong)size, "%s%s%s", section->kind,
              section->name[0] != '\0' ? " " : "", section->name);
  return buffer;
}

/* Add a fault about KEY of SECTION (both may be NULL) with its line.  */
struct config_error *
ini_add_error (const struct ini *ini, GArray *errors,
               enum config_error_kind kind, const struct ini_section *section,
               const char *key, const char *value)
{
  struct config_error *config_error = config_error_add (errors, kind);

  g_strlcpy (config_error->file, ini->file, sizeof config_error->file);
  if (section != NULL)
    {
      ini_section_title (section, config_error->section,
                         sizeof config_error->section);
      config_error->line = section->line;
    }
  if (key != NULL)
    {
      char *at = g_strdup_printf ("%s\n%s", config_error->section, key);
      gpointer line = g_hash_table_lookup (ini->line_numbers, at);
      g_strlcpy (config_error->key, key, sizeof config_error->key);
      if (line != NULL)
        config_error->line = GPOINTER_TO_UINT (line);
      g_free (at);
    }
  if (value != NULL)
    g_strlcpy (config_error->value, value, sizeof config_error->value);
  return config_error;
}

/* Note where SECTION stands, and a fault if it has stood before.  */
static void
scan_section (struct ini *ini, const char *line, guint number, GArray *errors)
{
  struct ini_section section = { .line = number };
  char group[2 * NAME_SIZE];
  char *inner = g_strndup (line + 1, strcspn (line + 1, "]"));
  char **words = g_strsplit (g_strstrip (inner), " ", 2);
  guint i;

  g_strlcpy (section.kind, words[0] != NULL ? words[0] : "",
             sizeof section.kind);
  if (words[0] != NULL && words[1] != NULL)
    g_strlcpy (section.name, g_strstrip (words[1]), sizeof section.name);
  ini_section_title (&section, group, sizeof group);
  for (i = 0; i < ini->sections->len; i++)
    {
      const struct ini_section *other
          = &g_array_index (ini->sections, struct ini_section, i);
      if (strcmp (other->kind, section.kind) == 0
          && strcmp (other->name, section.name) == 0)
        ini_add_error (ini, errors, CONFIG_ERROR_DUPLICATE, &section, NULL,
                       group);
    }
  g_array_append_val (ini->sections, section);
  g_strfreev (words);
  g_free (inner);
}

/* Note where a key stands, and a fault if it has stood before.  */
static void
scan_key (struct ini *ini, const char *line, guint number, GArray *errors)
{
  const struct ini_section *section;
  char group[2 * NAME_SIZE];
  char *key = g_strndup (line, strcspn (line, "="));
  char *at;

  g_strstrip (key);
  if (ini->sections->len == 0)
    {
      g_free (key);
      return;
    }
  section = &g_array_index (ini->sections, struct ini_section,
                            ini->sections->len - 1);
  at = g_strdup_printf ("%s\n%s",
                        ini_section_title (section, group, sizeof group), key);
  if (g_hash_table_contains (ini->line_numbers, at))
    ini_add_error (ini, errors, CONFIG_ERROR_DUPLICATE, section, key, NULL)
        ->line
        = number;
  g_hash_table_replace (ini->line_numbers, at, GUINT_TO_POINTER (number));
  g_free (key);
}

/* Walk over the lines of TEXT, for line numbers and duplicates, which
   GKeyFile does not tell.  */
static void
scan_lines (struct ini *ini, const char *text, GArray *errors)
{
  char **lines = g_strsplit (text, "\n", -1);
  guint i;

  for (i = 0; lines[i] != NULL; i++)
    {
      const char *line = g_strstrip (lines[i]);
      if (line[0] == '[')
        scan_section (ini, line, i + 1, errors);
      else if (line[0] != '#' && line[0] != '\0')
        scan_key (ini, line, i + 1, errors);
    }
  g_strfreev (lines);
}

/* Read TEXT, called FILE in faults, and check it against SCHEMA.  Each fault
   is added to FAULTS, an array of struct fault.  FILE must outlive INI.  */
void
ini_read (struct ini *ini, const char *file, const char *text,
          const struct ini_schema *schema, GArray *errors)
{
  GError *error = NULL;
  guint i;

  ini->file = file;
  ini->key_file = g_key_file_new ();
  ini->sections = g_array_new (FALSE, TRUE, sizeof (struct ini_section));
  ini->line_numbers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scan_lines (ini, text, errors);
  if (!g_key_file_load_from_data (ini->key_file, text, (gsize)-1,
                                  G_KEY_FILE_NONE, &error))
    {
      ini_add_error (ini, errors, CONFIG_ERROR_SYNTAX, NULL, NULL,
                     error->message);
      g_error_free (error);
      return;
    }
  for (i = 0; i < ini->sections->len; i++)
    {
      const struct ini_section *section
          = &g_array_index (ini->sections, struct ini_section, i);
      ini_check_section (ini, section, schema, errors);
    }
}

/* Release what INI holds.  */
void
ini_clear (struct ini *ini)
{
  g_key_file_free (ini->key_file);
  g_array_free (ini->sections, TRUE);
  g_hash_table_destroy (ini->line_numbers);
  memset (ini, 0, sizeof *ini);
}

/* Values */

/* The text of KEY in SECTION without blanks around it, or an empty text; free
   it with g_free.  */
char *
ini_text (const struct ini *ini, const struct ini_section *section,
          const char *key)
{
  char group[2 * NAME_SIZE];
  char *value = g_key_file_get_string (
      ini->key_file, ini_section_title (section, group, sizeof group), key,
      NULL);

  return value != NULL ? g_strstrip (value) : g_strdup ("");
}

/* Copy the text of KEY to TO, an empty text if there is none.  */
void
ini_copy (const struct ini *ini, const struct ini_section *section,
          const char *key, char *to, gsize size)
{
  char *value = ini_text (ini, section, key);

  g_strlcpy (to, value, size);
  g_free (value);
}

/* The time of KEY, in units of UNIT microseconds, as microseconds; OTHERWISE
   if it is not there.  */
gint64
ini_duration_usec (const struct ini *ini, const struct ini_section *section,
                   const char *key, gint64 unit, gint64 otherwise)
{
  char *value = ini_text (ini, section, key);
  gint64 usec = value[0] != '\0'
                    ? (gint64)(g_ascii_strtod (value, NULL) * (double)unit)
                    : otherwise;

  g_free (value);
  return usec;
}

/* Read the address of KEY; ADDRESS stays as it is where there is none.  */
void
ini_address (const struct ini *ini, const struct ini_section *section,
             const char *key, struct address *address)
{
  char *text = ini_text (ini, section, key);

  address_parse (text, address);
  g_free (text);
}

/* The number of KEY, or OTHERWISE if it is not there.  */
gint64
ini_number (const struct ini *ini, const struct ini_section *section,
            const char *key, gint64 otherwise)
{
  char *value = ini_text (ini, section, key);
  gint64 number
      = value[0] != '\0' ? g_ascii_strtoll (value, NULL, 10) : otherwise;

  g_free (value);
  return number;
}

/* The yes or no of KEY, or OTHERWISE if it is not there.  */
gboolean
ini_flag (const struct ini *ini, const struct ini_section *section,
          const char *key, gboolean otherwise)
{
  char *value = ini_text (ini, section, key);
  gboolean flag = value[0] != '\0' ? strcmp (value, "yes") == 0 : otherwise;

  g_free (value);
  return flag;
}
