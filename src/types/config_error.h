#ifndef BAMBOOTALLY_CONFIG_ERROR_H
#define BAMBOOTALLY_CONFIG_ERROR_H

#include "types/limits.h"
#include <glib.h>

/* What is wrong with one place of an INI file.  */

enum config_error_kind
{
  CONFIG_ERROR_SYNTAX = 1,       /* not INI */
  CONFIG_ERROR_UNKNOWN_KIND = 2, /* a section of a kind that does not exist */
  CONFIG_ERROR_UNKNOWN_KEY = 3,  /* a key that the section does not have */
  CONFIG_ERROR_MISSING = 4,      /* a key that the section must have */
  CONFIG_ERROR_DUPLICATE = 5,    /* a section or key that stands twice */
  CONFIG_ERROR_DANGLING = 6,     /* refers to an object that does not exist */
  CONFIG_ERROR_RANGE = 7,        /* a number out of range */
  CONFIG_ERROR_VALUE = 8,        /* not a value of the right form */
  CONFIG_ERROR_IMMUTABLE = 9,    /* changes what cannot be changed later */
  CONFIG_ERROR_OVERLAP = 10,     /* two rules match the same requests */
  CONFIG_ERROR_FILE = 11         /* the file cannot be read */
};

#define CONFIG_ERROR_VALUE_SIZE 128u /* bytes kept of a value */

struct config_error
{
  enum config_error_kind kind;
  char file[PATH_SIZE];                /* as the caller named it */
  guint line;                          /* from 1; 0 for the whole file */
  char section[2 * NAME_SIZE];         /* kind and name */
  char key[NAME_SIZE];                 /* key in the section, or empty */
  char value[CONFIG_ERROR_VALUE_SIZE]; /* what was found */
  gint64 low;                          /* least number allowed, with RANGE */
  gint64 high; /* greatest number allowed, with RANGE */
};

const char *config_error_kind_name (enum config_error_kind kind);
char *config_error_format (const struct config_error *config_error);
struct config_error *config_error_add (GArray *errors,
                                       enum config_error_kind kind);

#endif
