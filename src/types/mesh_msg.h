#ifndef BAMBOOTALLY_MESH_MSG_H
#define BAMBOOTALLY_MESH_MSG_H

#include "types/err.h"
#include "types/evacuated_zones.h"
#include "types/fleet_record.h"
#include "types/load_report.h"
#include "types/reading_claim.h"
#include "types/reading_slot.h"

/* Messages between the nodes of a mesh, other than requests.  A call and its
   reply have the same kind.  */

#define PEER_REPORTS_MAX 48u /* third nodes reported in one gossip message */
#define MESH_BLOB_BYTES_MAX 1048576u /* bytes of records or configuration */
/* Bytes of a configuration that was sent compressed.  */
#define MESH_CONFIG_BYTES_MAX 16777216u

enum mesh_msg_kind
{
  MESH_GOSSIP = 1, /* exchange the state of both nodes */
  MESH_FETCH = 2,  /* fetch records and the configuration */
  MESH_APPEND = 3  /* append a record for the caller */
};

/* What the sender of a gossip message knows about a third node.  */
struct peer_report
{
  guint64 incarnation; /* process of the third node */
  guint64 sequence;    /* highest sequence of the node known to anyone */
  guint32 age_msec;    /* age of the node's latest message to anyone */
  gboolean leaving;    /* the node was about to stop at its latest message */
  gboolean store_lost; /* the store was unreachable for the node at its latest
                          message */
};

/* State of a node, sent in a call and in its reply.  */
struct gossip
{
  char name[NAME_SIZE];   /* name of the sender */
  struct address address; /* address that the sender listens on */
  guint64 incarnation;    /* process of the sender */
  guint64 sequence;       /* rises with each gossip message of the process */
  guint64 applied_offset; /* all records below this offset are applied */
  /* microseconds since the start of the latest store read that found no
     further records; -1: none */
  gint64 confirmed_age_usec;
  guint64 config_version;  /* version of the configuration in force */
  gboolean leaving;        /* the process is about to stop */
  gboolean store_lost;     /* the store is unreachable for the sender */
  struct load_report load; /* load of the sender's backend server */
  guint32 report_count;    /* entries in reports */
  /* reports on nodes that are in an unusual state, or recently were */
  struct peer_report reports[PEER_REPORTS_MAX];
  /* microseconds since the start of the latest read that showed no
     configuration newer than config_version; -1: none */
  gint64 config_confirmed_age_usec;
  guint64 config_source;                      /* process that made this read */
  struct reading_claim claims[READING_SLOTS]; /* who reads the topics */
  struct evacuated_zones evacuated; /* offset 0: the sender knows of none */
};

/* A node that has this version wants no configuration.  */
#define FETCH_NO_CONFIG G_MAXUINT64

/* Fetch records and the configuration.  */
struct mesh_fetch
{
  guint64 applied_offset;   /* the caller has the records below this offset */
  guint64 config_version;   /* version that the caller has */
  gboolean accepts_patches; /* the caller understands FLEET_MAP_PATCH */
  gboolean accepts_deflate; /* the caller understands a configuration that is
                               compressed */
};

/* Append a record.  */
struct mesh_append
{
  guint64 expected_end;     /* offset that the topic must end at, or
                               APPEND_UNCONDITIONAL */
  char key[FLEET_KEY_SIZE]; /* key of the record */
  guint32 length;           /* length of bytes; 0 deletes the key */
  guint8 *bytes;            /* encoded record */
};

#define APPEND_UNCONDITIONAL G_MAXUINT64 /* append wherever the topic ends */

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

/* Records, and the configuration if it is newer than the caller's.  */
struct mesh_fetch_reply
{
  guint64 next_offset;    /* the reply brings the records below this offset */
  guint32 records_length; /* length of records, bytes */
  guint8 *records;        /* records, encoded by wire_fleet_encode_entries */
  guint64 config_version; /* version in config_bytes; 0: none */
  guint32 config_length;  /* length of config_bytes */
  guint8 *config_bytes;   /* configuration as the store returned it, or
                             compressed by wire_deflate */
  guint64 config_next_offset;  /* the sender knows all records of the
                                  operator's topic below this offset; 0: not
                                  known */
  guint32 config_plain_length; /* length before the compression, 0: it is not
                                  compressed */
};

/* The result of an append.  */
struct mesh_append_reply
{
  guint64 offset; /* offset of the record */
};

struct mesh_reply
{
  enum mesh_msg_kind kind;
  enum err code; /* ERR_NONE, or why the call failed */
  union
  {
    struct gossip gossip;
    struct mesh_fetch_reply fetch;
    struct mesh_append_reply append;
  } u;
};

#endif
