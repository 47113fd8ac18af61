#ifndef TESTS_MESH_SIM_TYPES_H
#define TESTS_MESH_SIM_TYPES_H

#include "mesh/mesh.h"
#include "types/store_offset.h"

/* The types of a simulation of mesh nodes under scripted time.  */

/* A test may define another number.  */
#ifndef SIM_NODES
#define SIM_NODES 4u
#endif
#ifndef SIM_ZONES
#define SIM_ZONES 2u /* data centres; node I is in I modulo this number */
#endif
#define STEP_USEC ((gint64)10000)
#define HEARTBEAT_USEC ((gint64)900000)
#define ANSWER_TIMEOUT_USEC ((gint64)1000000) /* later answers are ignored */
#define SERVICE "keys"
#define EVACUATE_USEC ((gint64)5000000) /* bound of an evacuation */
#define EVACUATE_TOUCH_USEC                                                   \
  ((gint64)3000000) /* a node without a failure for this long knows of it */
#define LATE_ONE_IN                                                           \
  5 /* one call for keys in this many is carried out late                     \
     */

#define LATE_APPEND_ONE_IN                                                    \
  6u /* one append in this many is carried out late                           \
      */
#define APPEND_TIMEOUT_USEC                                                   \
  ((gint64)1200000) /* of an append without answer                            \
                     */

/* Type of a message on its way.  */
enum sim_message_kind
{
  SIM_APPEND,           /* a record to the store */
  SIM_APPENDED,         /* the end of an append */
  SIM_READ,             /* a read of the store */
  SIM_RECORDS,          /* the result of a read */
  SIM_READ_OPERATOR,    /* a read of the operator's topic */
  SIM_EVACUATIONS,      /* its result */
  SIM_CALL,             /* a call to a node */
  SIM_REPLY,            /* the reply to a call */
  SIM_TIMEOUT,          /* no reply came in time */
  SIM_HEARTBEAT_ANSWER, /* an answer to a server's heartbeat */
  SIM_ORDER,            /* a call for keys to the server of the sender */
  SIM_ORDER_ENDED       /* the end of such a call */
};

struct sim_message
{
  gint64 due_at;              /* time of arrival */
  enum sim_message_kind kind; /* type of the message */
  guint from;                 /* sending node */
  guint to;                   /* receiving node */
  guint32 process_number;     /* number of the sending process */
  guint64 serial;             /* serial of the call */
  guint64 offset;       /* offset condition of an append, or end of a read */
  gint64 started_at;    /* when a read or a heartbeat began */
  enum err code;        /* result of an append */
  struct handle member; /* handle of the called node at the caller */
  struct fleet_record record;      /* record of an append */
  struct mesh_call call;           /* a call */
  struct mesh_reply reply;         /* a reply */
  struct heartbeat_answer *answer; /* the answer to a heartbeat */
  struct key_order order;          /* a call for keys of the server */
  gint64 born_msec;                /* start of the server that is called */
  gboolean is_late; /* the call or append has no answer and is carried out
                       late */
};

/* What a simulated server that is granted keys by calls knows of a key.  */
struct sim_hold
{
  gint64 until;        /* end of the hold */
  guint64 fence;       /* fence of the hold */
  gint64 timely_until; /* end of the hold without calls that were carried out
                          late */
};

/* A simulated backend server.  */
struct sim_server
{
  struct server_instance instance; /* current instance */
  gboolean is_up;                  /* the server runs */
  guint64 heartbeat_number;        /* number of the last heartbeat */
  gint64 next_heartbeat_at; /* time of the next heartbeat, or of the restart */
  gint64 held_until;        /* time at which the held ranges expire */
  struct key_range held_ranges[ANSWER_RANGES_MAX]; /* held ranges */
  guint32 held_count; /* used entries of `held_ranges' */

  /* Released ranges that the next heartbeat reports.  */
  struct key_range released_ranges[ANSWER_RANGES_MAX];
  guint32 released_count; /* used entries of `released_ranges' */

  /* Servers that are granted keys by calls, by key.  */
  struct sim_hold *holds; /* what the server holds */
  guint64 *seen_fence;    /* highest fence seen */
};

/* A simulated node with its backend server.  */
struct sim_node
{
  struct mesh mesh;         /* state of the node's process */
  struct sim_server server; /* backend server beside the node */
  gboolean is_up;           /* the process runs */
  guint32 process_number;   /* number of the process, rises with each start */
  gboolean isolated;        /* no connection to other nodes */
  gboolean store_unreachable; /* no connection to the store */
  gint64 paused_until;        /* time until which the process is paused */
  gint64 restart_at;          /* time of the next start of the process */
  gint64 restored_at;         /* time at which the connections are restored */
  gint64 no_append_until; /* the store refuses its appends until then, though
                             it answers its reads */
  guint64 read_offset;    /* records below this offset were read */
  gint64 disturbed_at;    /* last time at which the process or a connection
                             failed */
};

struct sim
{
  struct sim_node nodes[SIM_NODES]; /* the nodes and their servers */
  GArray *log;              /* struct fleet_record, contents of the store */
  GArray *log_times;        /* gint64, when they were appended */
  guint64 era;              /* how often the store came back older */
  GArray *messages;         /* struct sim_message, messages on their way */
  GRand *random;            /* random generator of the seed */
  gint64 now;               /* current time */
  enum grant_method method; /* how the servers are told their keys */
  gint64 calm_at;           /* nothing is carried out late from then on */
  gint64 store_back_at;     /* time from which the store answers */
  /* Whether data centres may be evacuated.  A simulation without evacuations
     draws the same numbers as before there were any.  */
  gboolean has_evacuations;
  GRand *operator_random; /* draws all that concerns evacuations */
  GArray *evacuations;    /* struct evacuation, in the operator's topic from
                             offset 1 on */
  gint64 evacuated_at[SIM_ZONES]; /* since when each data centre is evacuated,
                                     0: it is not */
  guint evacuated_run_count;      /* keys that an evacuated server was found to
                                     serve beyond the bound */
  guint64 max_fence[SHARD_KEY_COUNT]; /* highest fence under which a key was
                                         held */
  guint8 owner[SHARD_KEY_COUNT]; /* node that last held a key, counted from 1;
                                    0: none did */
  guint two_holder_count;        /* keys seen with two holders */
  guint fence_error_count; /* keys taken under a fence that was not higher */
};

#endif
