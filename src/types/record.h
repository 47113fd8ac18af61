#ifndef BAMBOOTALLY_RECORD_H
#define BAMBOOTALLY_RECORD_H

#include "types/address.h"
#include "types/limits.h"
#include <glib.h>

/* Records of the log, the state that all nodes agree on.  A node is identified
   by its incarnation, a random number that its process draws at the start.  */

enum record_kind
{
  RECORD_CONFIG = 1,      /* a configuration that passed the checks */
  RECORD_JOIN = 2,        /* a node joins with its backend server */
  RECORD_LEAVING = 3,     /* a node accepts no new slices */
  RECORD_REMOVED = 4,     /* a node is removed and owns nothing any more */
  RECORD_WITNESS_SET = 5, /* the witness set of a node */
  RECORD_ASSIGN = 6,    /* owners and successors of slices without an owner */
  RECORD_MOVE = 7,      /* slices must move from one node to another */
  RECORD_MOVED = 8,     /* the receiver of a move serves its slices */
  RECORD_HOT_KEY = 9,   /* a hot key gets, changes or loses its own slice */
  RECORD_SUSPECT = 10,  /* a request digest that crashed a server */
  RECORD_SNAPSHOT = 11, /* one chunk of a snapshot of the view */
  RECORD_SUCCESSOR = 12 /* new successors of slices that have an owner */
};

/* A complete configuration, as the operator wrote it.  */
struct record_config
{
  guint64 base_offset;    /* offset of the edited configuration, or 0 */
  char *text;             /* configuration as INI text */
  char author[NAME_SIZE]; /* operator who published the configuration */
};

/* A node joins with the backend server beside it.  */
struct record_join
{
  guint64 incarnation;          /* incarnation of the node */
  guint64 replaced_incarnation; /* incarnation replaced at the address, or 0 */
  char host[NAME_SIZE];         /* host name, unique among live nodes */
  char zone[NAME_SIZE];         /* zone of the host */
  char service[NAME_SIZE];      /* service of the backend server */
  char server[NAME_SIZE];       /* name of the backend server */
  struct address http_address;  /* address for callers */
  struct address peer_address;  /* address for other nodes */
  guint32 slots;                /* requests that the server runs at once */
  gboolean checks_fences; /* the server refuses requests with old fences */
};

/* A node is leaving.  */
struct record_leaving
{
  guint64 incarnation; /* incarnation of the node */
};

/* A node is removed: it owns nothing any more.  */
struct record_removed
{
  guint64 incarnation; /* incarnation of the node */
  guint64 floor;       /* highest floor in the certificate: the node may have
                          released slices by moves up to this offset */
  guint32 cause;       /* enum removal_cause */
};

/* Why a node was removed.  */
enum removal_cause
{
  REMOVAL_CERTIFICATE = 0, /* a majority of witnesses promised */
  REMOVAL_LEFT = 1,        /* the node left on its own and owned nothing */
  REMOVAL_DECLARED = 2,    /* an operator declared the node dead */
  REMOVAL_GAVE_UP = 3      /* the node could never renew its lease again */
};

/* The witnesses of a node.  */
struct record_witness_set
{
  guint64 incarnation;    /* incarnation of the node */
  guint64 replaced_epoch; /* offset of the previous witness set, or 0 */
  guint32 witness_count;  /* entries in witnesses */
  guint64 witnesses[WITNESS_MAX]; /* incarnations of the witnesses */
};

/* A slice in a record that assigns or moves slices.  */
struct record_slice
{
  guint32 slice; /* number of the slice in its service */
  guint64 epoch; /* epoch of the slice when the record was proposed */
  guint64 owner; /* incarnation of the owner or of the move's receiver */
  guint64 successors[SUCCESSOR_MAX]; /* incarnations; 0: none */
};

/* Slices of one service.  */
struct record_slices
{
  char service[NAME_SIZE];    /* name of the service */
  guint32 count;              /* entries in items */
  struct record_slice *items; /* slices, allocated by g_malloc */
};

/* The owner of a hot key.  */
struct record_hot_key
{
  char service[NAME_SIZE];   /* name of the service */
  char key[KEY_SIZE];        /* hot key */
  gboolean is_removal;       /* the key loses its own slice */
  struct record_slice slice; /* owner and successors; its number is unused */
};

/* A request that crashed a server.  */
struct record_suspect
{
  guint64 digest;      /* digest of method, path and body of the request */
  guint64 incarnation; /* node whose server stopped in the request */
};

/* A chunk of a snapshot.  */
struct record_snapshot
{
  guint64 snapshot_offset; /* records below this offset are included */
  guint32 chunk_index;     /* index of this chunk, from 0 */
  guint32 chunk_count;     /* number of chunks in the snapshot */
  guint32 length;          /* length of this chunk, bytes */
  guint8 *bytes;           /* chunk, allocated by g_malloc */
};

/* The body of a record; its kind selects the member.  */
union record_body
{
  struct record_config config;
  struct record_join join;
  struct record_leaving leaving;
  struct record_removed removed;
  struct record_witness_set witness_set;
  struct record_slices slices; /* assign, move, moved, successor */
  struct record_hot_key hot_key;
  struct record_suspect suspect;
  struct record_snapshot snapshot;
};

/* A record with its header.  */
struct record
{
  guint32 version;       /* format version of the writer */
  enum record_kind kind; /* selects the member of body */
  guint64 writer;        /* incarnation of the writer; 0: an operator */
  guint64 serial; /* unique id of the record among those of its writer */
  union record_body body;
};

#define RECORD_VERSION 1u           /* version that this code writes */
#define RECORD_VERSION_MALFORMED 0u /* marks an undecodable entry */
#define RECORD_VERSION_MAX 0xffffu  /* higher versions are malformed */

const char *record_kind_name (enum record_kind kind);
void record_clear (struct record *record);
void record_copy (struct record *to, const struct record *from);

#endif
