#ifndef BAMBOOTALLY_RECORD_H
#define BAMBOOTALLY_RECORD_H

#include "types/address.h"
#include "types/limits.h"
#include <glib.h>

/* A record of the log: what the nodes agree on.  Nodes are named by their
   incarnation, a random number that a process draws when it starts.  */

enum record_kind
{
  RECORD_CONFIG = 1,      /* a checked configuration */
  RECORD_JOIN = 2,        /* a node with its backend server joins */
  RECORD_LEAVING = 3,     /* a node wants no new work */
  RECORD_REMOVED = 4,     /* a node owns nothing any more */
  RECORD_WITNESS_SET = 5, /* a node's witness set */
  RECORD_ASSIGN = 6,      /* owners and successors of slices without owner */
  RECORD_MOVE = 7,        /* slices are to go from one node to another */
  RECORD_MOVED = 8,       /* the new owner has begun to serve */
  RECORD_HOT_KEY = 9,     /* a hot key gets, changes or loses its own slice */
  RECORD_SUSPECT = 10,    /* a request digest that crashed a server */
  RECORD_SNAPSHOT = 11,   /* one chunk of a snapshot of the view */
  RECORD_SUCCESSOR = 12   /* successors of slices that have an owner */
};

/* A whole configuration set, as the operator wrote it.  */
struct record_config
{
  guint64 base_offset; /* offset of the configuration it was made from, or 0 */
  char *text;          /* INI text */
  char author[NAME_SIZE]; /* who published it */
};

/* A node and the backend server beside it.  */
struct record_join
{
  guint64 incarnation;          /* the node's */
  guint64 replaced_incarnation; /* node whose address it took over, or 0 */
  char host[NAME_SIZE];         /* name of the host, unique among live nodes */
  char zone[NAME_SIZE];         /* place the host stands in */
  char service[NAME_SIZE];      /* service of its backend server */
  char server[NAME_SIZE];       /* name of the backend server */
  struct address http_address;  /* where callers reach the node */
  struct address peer_address;  /* where other nodes reach it */
  guint32 slots;                /* requests the server runs at once */
  gboolean checks_fences;       /* whether the server refuses old fences */
};

/* One node named alone.  */
struct record_leaving
{
  guint64 incarnation; /* the node that leaves */
};

/* A node that owns nothing any more.  */
struct record_removed
{
  guint64 incarnation; /* the node that is out */
  guint64 floor;       /* highest floor that its certificate showed */
  guint32 cause;       /* enum removal_cause */
};

/* Why a node is out.  */
enum removal_cause
{
  REMOVAL_CERTIFICATE = 0, /* a majority of its witnesses promised */
  REMOVAL_LEFT = 1,        /* it left by itself, owning nothing */
  REMOVAL_DECLARED = 2,    /* an operator declared it dead */
  REMOVAL_GAVE_UP = 3      /* its lease could never be renewed again */
};

/* The witnesses of a node.  */
struct record_witness_set
{
  guint64 incarnation;            /* whose witnesses */
  guint64 replaced_epoch;         /* offset of the set it replaces, or 0 */
  guint32 witness_count;          /* witnesses that follow */
  guint64 witnesses[WITNESS_MAX]; /* their incarnations */
};

/* One slice in a record that assigns or moves.  */
struct record_slice
{
  guint32 slice; /* number within the service */
  guint64 epoch; /* epoch that the proposer saw */
  guint64 owner; /* incarnation: owner, or receiver of a move */
  guint64 successors[SUCCESSOR_MAX]; /* incarnations, 0 for none */
};

/* Slices of one service.  */
struct record_slices
{
  char service[NAME_SIZE];    /* the service */
  guint32 count;              /* slices that follow */
  struct record_slice *items; /* allocated by g_malloc */
};

/* A hot key and its owner.  */
struct record_hot_key
{
  char service[NAME_SIZE];   /* the service */
  char key[KEY_SIZE];        /* the key */
  gboolean is_removal;       /* the key goes back to its slice */
  struct record_slice slice; /* owner and successors; slice is unused */
};

/* A request that crashed a server.  */
struct record_suspect
{
  guint64 digest;      /* digest of the request's method, path and body */
  guint64 incarnation; /* node whose server stopped while running it */
};

/* One chunk of a snapshot.  */
struct record_snapshot
{
  guint64
      snapshot_offset; /* the snapshot holds all records below this offset */
  guint32 chunk_index; /* number of this chunk, from 0 */
  guint32 chunk_count; /* chunks in the snapshot */
  guint32 length;      /* bytes in this chunk */
  guint8 *bytes;       /* allocated by g_malloc */
};

/* The body of a record, by its kind.  */
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
  enum record_kind kind; /* which member of the body */
  guint64 writer;        /* incarnation of the writer, 0 for an operator */
  guint64 serial;        /* with writer the record's unique id */
  union record_body body;
};

#define RECORD_VERSION 1u           /* the version this code writes */
#define RECORD_VERSION_MALFORMED 0u /* version that stands for no record */
#define RECORD_VERSION_MAX 0xffffu  /* a version above is malformed */

const char *record_kind_name (enum record_kind kind);
void record_clear (struct record *record);
void record_copy (struct record *to, const struct record *from);

#endif
