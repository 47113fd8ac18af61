#include "types/ini.h"

#include <string.h>

/* Reading */

/* Write the title of SECTION into BUFFER of SIZE bytes, and return BUFFER.  */
const char *
ini_section_title (const struct ini_section *section, char *buffer, gsize size)
{
  g_snprintf (buffer, (gulong)size, "%s%s%s", section->kind,
              section->name[0] != '\0' ? " " : "", section->name);
  return buffer;
}

/* Append an error of KIND to ERRORS, with the line of KEY or else of SECTION.
   SECTION, KEY and VALUE may be NULL.  */
struct config_error *
ini_add_error (const struct ini *ini, GArray *errors,
               enum config_error_kind kind, const struct ini_section *section,
               const char *key, const char *value)
{
  struct config_error *error = config_error_add (errors, kind);

  g_strlcpy (error->file, ini->file, sizeof error->file);
  if (section != NULL)
    {
      ini_section_title (section, error->section, sizeof error->section);
      error->line = section->line;
    }
  if (key != NULL)
    {
      char *line_key = g_strdup_printf ("%s\n%s", error->section, key);
      gpointer line = g_hash_table_lookup (ini->line_numbers, line_key);
      g_strlcpy (error->key, key, sizeof error->key);
      if (line != NULL)
        error->line = GPOINTER_TO_UINT (line);
      g_free (line_key);
    }
  if (value != NULL)
    g_strlcpy (error->value, value, sizeof error->value);
  return error;
}

/* Add the section whose title is on LINE, the line with NUMBER.  A duplicate
   is an error.  */
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

/* Store the line number of the key on LINE.  A duplicate is an error.  */
static void
scan_key (struct ini *ini, const char *line, guint number, GArray *errors)
{
  const struct ini_section *section;
  char group[2 * NAME_SIZE];
  char *key = g_strndup (line, strcspn (line, "="));
  char *line_key;

  g_strstrip (key);
  if (ini->sections->len == 0)
    {
      g_free (key);
      return;
    }
  section = &g_array_index (ini->sections, struct ini_section,
                            ini->sections->len - 1);
  line_key = g_strdup_printf (
      "%s\n%s", ini_section_title (section, group, sizeof group), key);
  if (g_hash_table_contains (ini->line_numbers, line_key))
    ini_add_error (ini, errors, CONFIG_ERROR_DUPLICATE, section, key, NULL)
        ->line
        = number;
  g_hash_table_replace (ini->line_numbers, line_key,
                        GUINT_TO_POINTER (number));
  g_free (key);
}

/* Scan TEXT for line numbers and duplicates, which GKeyFile does not
   report.  */
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

/* Read TEXT into INI and check it against SCHEMA.  Each error is appended to
   ERRORS, an array of struct config_error, under the name FILE.  FILE must
   stay valid as long as INI.  */
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

/* Release what INI owns.  */
void
ini_clear (struct ini *ini)
{
  g_key_file_free (ini->key_file);
  g_array_free (ini->sections, TRUE);
  g_hash_table_destroy (ini->line_numbers);
  memset (ini, 0, sizeof *ini);
}

/* Values */

/* Return the text of KEY in SECTION without surrounding blanks, or an empty
   text.  Free it with g_free.  */
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

/* Copy the text of KEY in SECTION to TO, a buffer of SIZE bytes; an empty text
   if the key is missing.  */
void
ini_copy (const struct ini *ini, const struct ini_section *section,
          const char *key, char *to, gsize size)
{
  char *value = ini_text (ini, section, key);

  g_strlcpy (to, value, size);
  g_free (value);
}

/* Return the duration of KEY in SECTION in microseconds, or FALLBACK if the
   key is missing.  The value is in units of UNIT microseconds.  */
gint64
ini_duration_usec (const struct ini *ini, const struct ini_section *section,
                   const char *key, gint64 unit, gint64 fallback)
{
  char *value = ini_text (ini, section, key);
  gint64 usec = value[0] != '\0'
                    ? (gint64)(g_ascii_strtod (value, NULL) * (double)unit)
                    : fallback;

  g_free (value);
  return usec;
}

/* Parse the address of KEY in SECTION.  ADDRESS is unchanged if the key is
   missing.  */
void
ini_address (const struct ini *ini, const struct ini_section *section,
             const char *key, struct address *address)
{
  char *text = ini_text (ini, section, key);

  address_parse (text, address);
  g_free (text);
}

/* Return the number of KEY in SECTION, or FALLBACK if the key is missing.  */
gint64
ini_number (const struct ini *ini, const struct ini_section *section,
            const char *key, gint64 fallback)
{
  char *value = ini_text (ini, section, key);
  gint64 number
      = value[0] != '\0' ? g_ascii_strtoll (value, NULL, 10) : fallback;

  g_free (value);
  return number;
}

/* Return whether KEY in SECTION is yes, or FALLBACK if the key is missing.  */
gboolean
ini_flag (const struct ini *ini, const struct ini_section *section,
          const char *key, gboolean fallback)
{
  char *value = ini_text (ini, section, key);
  gboolean flag = value[0] != '\0' ? strcmp (value, "yes") == 0 : fallback;

  g_free (value);
  return flag;
}
