#ifndef BAMBOOTALLY_FAULT_H
#define BAMBOOTALLY_FAULT_H

#include "types/limits.h"
#include <glib.h>

/* What is wrong with one place of an INI file.  */

enum fault_kind
{
  FAULT_SYNTAX = 1,    /* not INI */
  FAULT_KIND = 2,      /* a section of a kind that does not exist */
  FAULT_UNKNOWN = 3,   /* a key that the section does not have */
  FAULT_MISSING = 4,   /* a key that the section must have */
  FAULT_DUPLICATE = 5, /* a section or key that stands twice */
  FAULT_DANGLING = 6,  /* refers to an object that does not exist */
  FAULT_RANGE = 7,     /* a number out of range */
  FAULT_VALUE = 8,     /* not a value of the right form */
  FAULT_FIXED = 9,     /* changes what cannot be changed later */
  FAULT_OVERLAP = 10,  /* two rules match the same requests */
  FAULT_FILE = 11      /* the file cannot be read */
};

#define FAULT_VALUE_SIZE 128u /* bytes kept of a value */

struct fault
{
  enum fault_kind kind;
  char file[PATH_SIZE];         /* as the caller named it */
  guint line;                   /* from 1; 0 for the whole file */
  char section[2 * NAME_SIZE];  /* kind and name */
  char key[NAME_SIZE];          /* key in the section, or empty */
  char value[FAULT_VALUE_SIZE]; /* what was found */
  gint64 low;                   /* least number allowed, with RANGE */
  gint64 high;                  /* greatest number allowed, with RANGE */
};

const char *fault_kind_name (enum fault_kind kind);
char *fault_format (const struct fault *fault);
struct fault *fault_add (GArray *faults, enum fault_kind kind);

#endif
