#ifndef BAMBOOTALLY_INI_H
#define BAMBOOTALLY_INI_H

#include "types/address.h"
#include "types/config_error.h"

/* An INI file checked against a schema.  Section titles have the form KIND or
   KIND NAME.  All errors are reported, not just the first.  */

/* The type of a key's value.  */
enum ini_type
{
  INI_NAME,    /* letters, digits, '-', '_' and '.' */
  INI_TEXT,    /* any text that is not empty */
  INI_NUMBER,  /* a whole number within bounds */
  INI_DECIMAL, /* a decimal number of at least zero */
  INI_FLAG,    /* yes or no */
  INI_ADDRESS, /* IP:PORT */
  INI_CHOICE   /* one of the words listed in choices */
};

/* A key that a kind of section has.  */
struct ini_field
{
  const char *kind;   /* kind of section that has the key */
  const char *key;    /* name of the key */
  enum ini_type type; /* type of the value */
  gboolean required;  /* the key must be present */
  gint64 low;         /* least allowed number, or 0 */
  gint64 high; /* greatest allowed number, or size limit of a text with its
                  final zero; 0: no limit */
  const char *choices; /* for INI_CHOICE: allowed words, separated by '|' */
};

/* The kinds of section that a file may have, and their keys.  */
struct ini_schema
{
  const struct ini_field *fields; /* keys of all kinds of section */
  guint field_count;              /* entries in fields */
  const char *named_kinds;        /* kinds with names, each enclosed in '|' */
  const char *single_kinds; /* kinds without names, each enclosed in '|' */
};

/* A section of the file.  */
struct ini_section
{
  char kind[NAME_SIZE]; /* first word of the title */
  char name[NAME_SIZE]; /* second word of the title, or empty */
  guint line;           /* line number of the title, from 1 */
};

/* A file that has been read.  */
struct ini
{
  const char *file;         /* file name used in errors */
  GKeyFile *key_file;       /* parsed values */
  GArray *sections;         /* struct ini_section, in the order of the file */
  GHashTable *line_numbers; /* line numbers by "section\nkey" */
};

void ini_read (struct ini *ini, const char *file, const char *text,
               const struct ini_schema *schema, GArray *errors);
void ini_check_section (const struct ini *ini,
                        const struct ini_section *section,
                        const struct ini_schema *schema, GArray *errors);
void ini_require_sections (const struct ini *ini, const char *const *kinds,
                           guint count, GArray *errors);
void ini_clear (struct ini *ini);
const char *ini_section_title (const struct ini_section *section, char *buffer,
                               gsize size);
char *ini_text (const struct ini *ini, const struct ini_section *section,
                const char *key);
void ini_copy (const struct ini *ini, const struct ini_section *section,
               const char *key, char *to, gsize size);
void ini_address (const struct ini *ini, const struct ini_section *section,
                  const char *key, struct address *address);
gint64 ini_number (const struct ini *ini, const struct ini_section *section,
                   const char *key, gint64 fallback);
gint64 ini_duration_usec (const struct ini *ini,
                          const struct ini_section *section, const char *key,
                          gint64 unit, gint64 fallback);
gboolean ini_flag (const struct ini *ini, const struct ini_section *section,
                   const char *key, gboolean fallback);
struct config_error *ini_add_error (const struct ini *ini, GArray *errors,
                                    enum config_error_kind kind,
                                    const struct ini_section *section,
                                    const char *key, const char *value);

#endif
