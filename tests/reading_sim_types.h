#ifndef TESTS_READING_SIM_TYPES_H
#define TESTS_READING_SIM_TYPES_H

#include "mesh/mesh_parts.h"

/* The types of a simulation of nodes that read a store under scripted time. */

#define READING_NODES 24u
#define LAST_NODE (READING_NODES - 1)
#define READING_ZONES 4u
#define READING_STEP_USEC ((gint64)10000)
#define MSEC ((gint64)1000)

#define POLL_FAILS_USEC                                                       \
  ((gint64)21500000)                      /* a long poll without an answer    \
                                           */
#define CALL_FAILS_USEC ((gint64)1500000) /* any other call without one */
#define STORE_DELAY_USEC ((gint64)8000)   /* an answer of the store */
#define SLOW_STORE_USEC ((gint64)300000)  /* the same of a slow store */
#define NODE_DELAY_USEC ((gint64)4000)    /* a message between nodes */
/* A link of 10 Mbit/s, and a tenth of a processor, which reads some 10 bytes
   of a configuration in a microsecond if it has a whole one.  */
#define LINK_BYTES_PER_SEC ((gint64)1250000)
#define PARSED_BYTES_PER_SEC ((gint64)1000000)
#define CONTACT_USEC ((gint64)3000000) /* a node is in touch after this */
#define APPLY_BOUND_USEC                                                      \
  ((gint64)2500000)         /* a version is in force by then                  \
                             */
#define EVACUATED_ZONE "z3" /* data centre that the operator evacuates */
#define RECORD_EVERY_USEC ((gint64)700000) /* between records of the fleet */

/* How the store treats a node.  */
enum reading_service
{
  READING_SERVED, /* answers it */
  READING_SILENT, /* gives no answer */
  READING_REFUSED /* refuses its calls */
};

enum reading_kind
{
  READING_RESULT,  /* a read of the store ended */
  READING_CALL,    /* a call to another node */
  READING_REPLY,   /* its reply */
  READING_TIMEOUT, /* the end of a call without a reply */
  READING_FETCHED  /* what another node has read */
};

struct reading_message
{
  gint64 due_at;           /* time of arrival */
  enum reading_kind kind;  /* type of the message */
  guint from;              /* node that made the call or read */
  guint to;                /* node that is called */
  guint32 process;         /* process that made it */
  enum mesh_topic topic;   /* topic of a read */
  gboolean is_poll;        /* the read waited for records */
  enum err code;           /* result of a read */
  guint64 end;             /* end of the topic as read */
  guint64 version;         /* newest configuration as read or fetched */
  guint evacuations;       /* evacuations as read */
  gint64 started_at;       /* start of the read */
  guint64 serial;          /* serial of the call */
  struct handle member;    /* handle of the called node at the caller */
  struct mesh_call call;   /* the call */
  struct mesh_reply reply; /* the reply */
};

/* A long poll of a node.  */
struct reading_poll
{
  gboolean pending;    /* it was sent and has not ended */
  gboolean dead;       /* it gets no answer any more */
  gint64 started_at;   /* when it was sent */
  gint64 paused_until; /* no other starts before */
};

struct reading_node
{
  struct mesh mesh;
  gboolean is_up;
  guint32 process;              /* number of the process */
  enum reading_service service; /* how the store treats the node */
  gboolean is_cut;              /* nothing passes to or from other nodes */
  gboolean is_deaf;             /* nothing passes to it from other nodes */
  gint64 frozen_until;          /* the process stands still until then */
  gint64 disturbed_at;          /* last time at which it was not in touch */
  gint64 send_delay_usec;       /* what it sends waits so long at its link */
  gint64 sends_until;           /* its link is sending until then */
  gint64 receives_until;        /* its link is receiving until then */
  gint64 parses_until;          /* it reads a configuration until then */
  struct reading_poll polls[2]; /* by topic */
};

/* A record of the fleet's topic: of a member, or one that changes nothing.  */
struct reading_record
{
  gboolean is_member;
  guint member;        /* node whose record it is */
  guint64 incarnation; /* process that it names */
};

struct reading_sim
{
  struct reading_node nodes[READING_NODES];
  GArray *messages;  /* struct reading_message */
  GArray *acked;     /* gint64, when version 1 and so on was acked */
  GArray *evacuated; /* gint64, when an evacuation, its end, and so on in
                        turns was acked */
  gint64 worst_evacuation_usec; /* longest time until one was in force at a
                                   node in touch */
  gint64 store_delay_usec;      /* an answer of the store */
  guint stored_bytes;           /* a version as the store sends it, 0: links
                                   and processors are no limit */
  guint sent_bytes;             /* a version as nodes send it */
  GArray *fleet;                /* struct reading_record, the fleet's topic */
  gint64 now;
  gint64 next_record_at; /* next record of the fleet */
  gint64 worst_usec;     /* longest time until a version was in force at a
                            node in touch */
  guint late_count;      /* nodes and steps beyond APPLY_BOUND_USEC */
  guint false_count;     /* times at which a node that lacked a version
                            beyond the bound said that a route is missing */
  guint reads;           /* calls to the store */
};

#endif
