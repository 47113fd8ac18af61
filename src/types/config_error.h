#ifndef BAMBOOTALLY_CONFIG_ERROR_H
#define BAMBOOTALLY_CONFIG_ERROR_H

#include "types/limits.h"
#include <glib.h>

/* An error found in an INI file: a configuration or a settings file.  */

enum config_error_kind
{
  CONFIG_ERROR_SYNTAX = 1,       /* the line is not INI syntax */
  CONFIG_ERROR_UNKNOWN_KIND = 2, /* the section has an unknown kind */
  CONFIG_ERROR_UNKNOWN_KEY = 3,  /* the section has no such key */
  CONFIG_ERROR_MISSING = 4,      /* a required key or section is missing */
  CONFIG_ERROR_DUPLICATE = 5,    /* a section or key occurs twice */
  CONFIG_ERROR_DANGLING = 6,     /* the value names no existing object */
  CONFIG_ERROR_RANGE = 7,        /* the number is out of range */
  CONFIG_ERROR_VALUE = 8,        /* the value has the wrong form */
  CONFIG_ERROR_IMMUTABLE = 9,    /* the value may not be changed later */
  CONFIG_ERROR_OVERLAP = 10,     /* two rules match the same requests */
  CONFIG_ERROR_FILE = 11         /* the file cannot be read */
};

#define CONFIG_ERROR_VALUE_SIZE 128u /* bytes kept of a wrong value */

struct config_error
{
  enum config_error_kind kind;
  char file[PATH_SIZE];        /* name of the file, as the caller gave it */
  guint line;                  /* line number from 1; 0: the whole file */
  char section[2 * NAME_SIZE]; /* kind and name of the section */
  char key[NAME_SIZE];         /* key in the section, or empty */
  char value[CONFIG_ERROR_VALUE_SIZE]; /* value that was found */
  gint64 low;  /* with CONFIG_ERROR_RANGE: least allowed number */
  gint64 high; /* with CONFIG_ERROR_RANGE: greatest allowed number */
};

const char *config_error_kind_name (enum config_error_kind kind);
char *config_error_format (const struct config_error *config_error);
struct config_error *config_error_add (GArray *errors,
                                       enum config_error_kind kind);

#endif
