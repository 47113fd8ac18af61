#ifndef BAMBOOTALLY_CONFIG_RULE_H
#define BAMBOOTALLY_CONFIG_RULE_H

#include "types/request.h"

/* A rule: which requests go to a service, and how.  */

/* Where the key of a request stands.  */
enum key_source
{
  KEY_NONE = 0,    /* the service is not divided */
  KEY_SEGMENT = 1, /* in a segment of the path */
  KEY_HEADER = 2   /* in a header */
};

struct config_rule
{
  char name[NAME_SIZE];        /* name of the rule */
  char service[NAME_SIZE];     /* service that the requests go to */
  char path_prefix[PATH_SIZE]; /* prefix of the path */
  char methods[NAME_SIZE];     /* methods with commas between, empty for all */
  enum key_source key_source;  /* where the key stands */
  guint32 key_segment;         /* number of the segment, from 1 */
  char key_header[NAME_SIZE];  /* name of the header */
  enum run_class run_class;    /* whether requests may run again */
  enum priority priority;      /* which requests go first */
};

#endif
