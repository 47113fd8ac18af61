#ifndef BAMBOOTALLY_CONFIG_RULE_H
#define BAMBOOTALLY_CONFIG_RULE_H

#include "types/request.h"

/* A rule: selects requests by path and method, and says which service they go
   to and how.  */

/* Where a request carries its key.  */
enum key_source
{
  KEY_NONE = 0,    /* no key: the service is not sharded */
  KEY_SEGMENT = 1, /* in a segment of the path */
  KEY_HEADER = 2   /* in a header */
};

struct config_rule
{
  char name[NAME_SIZE];        /* name of the rule */
  char service[NAME_SIZE];     /* service that matching requests go to */
  char path_prefix[PATH_SIZE]; /* prefix of matching paths */
  char methods[NAME_SIZE];     /* methods, separated by commas; empty: all */
  enum key_source key_source;  /* where the key is read from */
  guint32 key_segment; /* index of the path segment with the key, from 1 */
  char key_header[NAME_SIZE]; /* name of the header with the key */
  enum run_class run_class;   /* whether requests may be run again */
  enum priority priority;     /* priority of requests when slots are short */
};

#endif
