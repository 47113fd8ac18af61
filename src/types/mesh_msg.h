#ifndef BAMBOOTALLY_MESH_MSG_H
#define BAMBOOTALLY_MESH_MSG_H

#include "types/err.h"
#include "types/fleet_record.h"
#include "types/load_report.h"

/* What the nodes of a mesh say to each other besides requests.  A call and
   its reply share a kind.  */

#define PEER_REPORTS_MAX 48u         /* nodes that a pulse tells of */
#define MESH_BLOB_BYTES_MAX 1048576u /* bytes of records or configuration */

enum mesh_msg_kind
{
  MESH_GOSSIP = 1, /* how the sender is */
  MESH_FETCH = 2,  /* give me what I lack */
  MESH_APPEND = 3  /* append a record for me */
};

/* What the sender of a pulse has heard of a third node.  */
struct peer_report
{
  guint64 incarnation; /* process of that node */
  guint64 sequence;    /* the highest of its stamps that anyone heard */
  guint32 age_msec;    /* since the last word from it that anyone heard */
  gboolean leaving;    /* it was about to end then */
  gboolean store_lost; /* the store did not answer it then */
};

/* How a node is.  Sent both ways.  */
struct gossip
{
  char name[NAME_SIZE];      /* the sender */
  struct address address;    /* where it is reached */
  guint64 incarnation;       /* its process */
  guint64 sequence;          /* grows with each pulse of the process */
  guint64 applied_offset;    /* records below this are folded */
  gint64 confirmed_age_usec; /* microseconds since a read of the store began
                           that showed no later record; -1: none */
  guint64 config_version;    /* version of the configuration in force */
  gboolean leaving;          /* the process is about to end */
  gboolean store_lost;       /* the store does not answer the sender */
  struct load_report load;   /* its gate */
  guint32 report_count;      /* entries that follow */
  struct peer_report reports[PEER_REPORTS_MAX]; /* of nodes that are not as
                                       usual, or were not until lately */
};

/* Ask for records and the configuration.  */
struct mesh_fetch
{
  guint64 applied_offset; /* records below this are known */
  guint64 config_version; /* version that is known */
};

/* Append a record.  */
struct mesh_append
{
  guint64 expected_end; /* the topic must end here; APPEND_UNCONDITIONAL for no
                           condition */
  char key[FLEET_KEY_SIZE]; /* key of the record */
  guint32 length;           /* bytes that follow; 0 drops the key */
  guint8 *bytes;            /* encoded record */
};

#define APPEND_UNCONDITIONAL G_MAXUINT64 /* no condition on the end */

struct mesh_call
{
  enum mesh_msg_kind kind;
  union
  {
    struct gossip gossip;
    struct mesh_fetch fetch;
    struct mesh_append append;
  } u;
};

/* Records and, if it is later, the configuration as the store has it.  */
struct mesh_fetch_reply
{
  guint64 next_offset;    /* records below this are in what follows */
  guint32 records_length; /* bytes of records */
  guint8 *records;        /* records, as wire_fleet_entries */
  guint64 config_version; /* version that follows, 0 for none */
  guint32 config_length;  /* bytes of it */
  guint8 *config_bytes;   /* the configuration in the store's own words */
};

/* How an append ended.  */
struct mesh_append_reply
{
  guint64 offset; /* where the record stands */
};

struct mesh_reply
{
  enum mesh_msg_kind kind;
  enum err code; /* ERR_NONE, or why there is no answer */
  union
  {
    struct gossip gossip;
    struct mesh_fetch_reply fetch;
    struct mesh_append_reply append;
  } u;
};

#endif
