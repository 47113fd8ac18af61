#ifndef TESTS_MESH_WORLD_TYPES_H
#define TESTS_MESH_WORLD_TYPES_H

#include "mesh/mesh.h"

/* What a world of mesh nodes under scripted time is made of.  */

#define WORLD_NODES 4u
#define STEP_USEC ((gint64)10000)
#define BEAT_USEC ((gint64)900000)
#define ANSWER_USEC                                                           \
  ((gint64)1000000) /* a later answer to a beat is ignored                    \
                     */
#define SERVICE "keys"

/* What is on its way.  */
enum letter_kind
{
  LETTER_APPEND,  /* a record to the store */
  LETTER_STORED,  /* how an append ended */
  LETTER_READ,    /* a read of the store */
  LETTER_RECORDS, /* what was read */
  LETTER_CALL,    /* a call to a node */
  LETTER_REPLY,   /* its reply */
  LETTER_TIMEOUT, /* no reply came in time */
  LETTER_BEAT     /* an answer to a server's beat */
};

struct letter
{
  gint64 due;              /* it arrives then */
  enum letter_kind kind;   /* what it is */
  guint from;              /* node that began it */
  guint to;                /* node that it goes to */
  guint32 server_instance; /* process that began it */
  guint64 serial;          /* of the call */
  guint64 at;              /* condition of an append, or where a read ends */
  gint64 begun;            /* when a read or a beat began */
  enum err code;           /* how an append ended */
  struct handle member;    /* as the caller names the callee */
  struct fleet_record record;      /* an append */
  struct mesh_call call;           /* a call */
  struct mesh_reply reply;         /* a reply */
  struct heartbeat_answer *answer; /* to a beat */
};

/* A backend server.  */
struct fake_server
{
  struct server_instance instance;            /* its life */
  gboolean up;                                /* it runs */
  guint64 number;                             /* of its last beat */
  gint64 beat_at;                             /* its next beat */
  gint64 hold_until;                          /* what it holds lapses then */
  struct key_range row[HEARTBEAT_RANGES_MAX]; /* what it holds */
  guint32 rows;
  struct key_range freed[HEARTBEAT_RANGES_MAX]; /* to be told */
  guint32 frees;
};

/* A node.  */
struct world_node
{
  struct mesh mesh;          /* its decisions */
  struct fake_server server; /* beside it */
  gboolean up;               /* the process runs */
  guint32 server_instance;   /* rises with each process */
  gboolean cut;              /* no way to other nodes */
  gboolean off_store;        /* no way to the store */
  gint64 frozen_until;       /* it stands still */
  gint64 up_at;              /* it starts again */
  gint64 well_at;            /* its ways heal */
  guint64 read;              /* records below this were read */
};

struct world
{
  struct world_node node[WORLD_NODES];
  GArray *log;     /* struct fleet_record: the store */
  GArray *letters; /* struct letter */
  GRand *random;   /* of the seed */
  gint64 now;      /* the time */
  gint64 store_at; /* the store answers from then on */
  guint64
      fence[SHARD_KEY_COUNT];    /* highest fence under which a key was held */
  guint8 owner[SHARD_KEY_COUNT]; /* node that held it then, from 1 */
  guint doubles;                 /* keys seen with two holders */
  guint falls; /* keys taken under a fence that was not higher */
};

#endif
