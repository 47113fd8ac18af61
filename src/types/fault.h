#ifndef BAMBOOTALLY_FAULT_H
#define BAMBOOTALLY_FAULT_H

#include "types/limits.h"
#include <glib.h>

/* An error found in an INI file: a configuration or a settings file.  */

enum fault_kind
{
  FAULT_SYNTAX = 1,    /* the line is not INI syntax */
  FAULT_KIND = 2,      /* the section has an unknown kind */
  FAULT_UNKNOWN = 3,   /* the section has no such key */
  FAULT_MISSING = 4,   /* a required key or section is missing */
  FAULT_DUPLICATE = 5, /* a section or key occurs twice */
  FAULT_DANGLING = 6,  /* the value names an object that does not exist */
  FAULT_RANGE = 7,     /* the number is out of range */
  FAULT_VALUE = 8,     /* the value has the wrong form */
  FAULT_FIXED = 9,     /* the value cannot be changed after its first use */
  FAULT_OVERLAP = 10,  /* two rules match the same requests */
  FAULT_FILE = 11      /* the file cannot be read */
};

#define FAULT_VALUE_SIZE 128u /* bytes kept of a wrong value */

struct fault
{
  enum fault_kind kind;
  char file[PATH_SIZE];         /* name of the file, as the caller gave it */
  guint line;                   /* line number from 1; 0: the whole file */
  char section[2 * NAME_SIZE];  /* kind and name of the section */
  char key[NAME_SIZE];          /* key in the section, or empty */
  char value[FAULT_VALUE_SIZE]; /* value that was found */
  gint64 low;  /* with CONFIG_ERROR_RANGE: least allowed number */
  gint64 high; /* with CONFIG_ERROR_RANGE: greatest allowed number */
};

const char *fault_kind_name (enum fault_kind kind);
char *fault_format (const struct fault *fault);
struct fault *fault_add (GArray *faults, enum fault_kind kind);

#endif
