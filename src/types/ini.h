#ifndef BAMBOOTALLY_INI_H
#define BAMBOOTALLY_INI_H

#include "types/address.h"
#include "types/config_error.h"

/* An INI text checked against a schema.  Sections are called KIND or KIND
   NAME.  Every fault is found, not just the first.  */

/* What a key's value must be.  */
enum ini_type
{
  INI_NAME,    /* letters, digits, '-', '_' and '.' */
  INI_TEXT,    /* any text that is not empty */
  INI_NUMBER,  /* a whole number within bounds */
  INI_DECIMAL, /* a number that may have a fraction, not below zero */
  INI_FLAG,    /* yes or no */
  INI_ADDRESS, /* IP:PORT */
  INI_CHOICE   /* one of the words in choices */
};

/* One key of a kind of section.  */
struct ini_field
{
  const char *kind;    /* kind of the section */
  const char *key;     /* name of the key */
  enum ini_type type;  /* form of the value */
  gboolean required;   /* whether it must be there */
  gint64 low;          /* least number, or 0 */
  gint64 high;         /* greatest number, or longest text */
  const char *choices; /* words with '|' between, for INI_CHOICE */
};

/* What is known of the sections' kinds.  */
struct ini_schema
{
  const struct ini_field *fields; /* the keys */
  guint field_count;              /* how many keys */
  const char *named_kinds;        /* kinds that take a name, '|' around each */
  const char *single_kinds;       /* kinds without a name, '|' around each */
};

/* A section as it stands in the text.  */
struct ini_section
{
  char kind[NAME_SIZE]; /* first word */
  char name[NAME_SIZE]; /* second word, or empty */
  guint line;           /* where it stands, from 1 */
};

/* A text that has been read.  */
struct ini
{
  const char *file;         /* name for faults */
  GKeyFile *key_file;       /* the values */
  GArray *sections;         /* struct ini_section in order of the text */
  GHashTable *line_numbers; /* "section\nkey" to line number */
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
                   const char *key, gint64 otherwise);
gint64 ini_duration_usec (const struct ini *ini,
                          const struct ini_section *section, const char *key,
                          gint64 unit, gint64 otherwise);
gboolean ini_flag (const struct ini *ini, const struct ini_section *section,
                   const char *key, gboolean otherwise);
struct config_error *ini_add_error (const struct ini *ini, GArray *errors,
                                    enum config_error_kind kind,
                                    const struct ini_section *section,
                                    const char *key, const char *value);

#endif
