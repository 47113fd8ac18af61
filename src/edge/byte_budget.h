#ifndef BAMBOOTALLY_BYTE_BUDGET_H
#define BAMBOOTALLY_BYTE_BUDGET_H

#include "types/table.h"

/* Decides who may hold how many bytes of the process: whose reading stops,
   which connection is closed, and whether a request may begin or a connection
   may be accepted.  It performs nothing of that itself.  */

/* Bytes counted for a connection without any buffered bytes: its structs, the
   socket object and the registration with the poller.  */
#define BYTES_PER_CONNECTION 3072

/* Bytes counted for a request besides its body: its structs at the edge and in
   the decision logic, and its fields.  */
#define BYTES_PER_REQUEST 4096

/* What holds bytes.  */
enum byte_holder_kind
{
  BYTE_HOLDER_OTHER,  /* a connection of another kind: never closed */
  BYTE_HOLDER_CALLER, /* a connection of a caller */
  BYTE_HOLDER_STREAM, /* a request that another node forwarded */
  BYTE_HOLDER_KINDS   /* number of kinds */
};

struct byte_holder
{
  enum byte_holder_kind kind;
  guint64 bytes;       /* bytes that it holds */
  gint64 moved_at;     /* when bytes of it were last received or sent, or it
                          was added; monotonic usec */
  gboolean is_stopped; /* its reading is stopped */
  gboolean is_unread;  /* bytes wait for the other end to read */
  gpointer user;       /* connection or request */
};

struct byte_budget
{
  guint64 limit;                   /* bytes that may be held, 0: any number */
  guint connections_max;           /* open connections, 0: any number */
  guint64 held;                    /* bytes held by all holders */
  guint counts[BYTE_HOLDER_KINDS]; /* holders of each kind */
  guint stopped_count;             /* holders whose reading is stopped */
  struct table holders;            /* struct byte_holder */
};

void byte_budget_init (struct byte_budget *budget, guint64 limit,
                       guint connections_max);
void byte_budget_clear (struct byte_budget *budget);

/* Holders.  */
struct handle byte_budget_add (struct byte_budget *budget,
                               enum byte_holder_kind kind, gpointer user,
                               gint64 now);
void byte_budget_set_kind (struct byte_budget *budget, struct handle holder,
                           enum byte_holder_kind kind);
void byte_budget_remove (struct byte_budget *budget, struct handle holder);
void byte_budget_charge (struct byte_budget *budget, struct handle holder,
                         gint64 change);
void byte_budget_moved (struct byte_budget *budget, struct handle holder,
                        gint64 now);
void byte_budget_set_unread (struct byte_budget *budget, struct handle holder,
                             gboolean is_unread);
void byte_budget_stop (struct byte_budget *budget, struct handle holder,
                       gboolean is_stopped);

/* Decisions.  */
gboolean byte_budget_is_over (const struct byte_budget *budget);
gboolean byte_budget_is_short (const struct byte_budget *budget);
gboolean byte_budget_is_relieved (const struct byte_budget *budget);
gboolean byte_budget_may_read (const struct byte_budget *budget,
                               struct handle holder);
gboolean byte_budget_may_queue (const struct byte_budget *budget,
                                struct handle holder);
gboolean byte_budget_may_buffer (const struct byte_budget *budget,
                                 struct handle holder);
gboolean byte_budget_may_begin (const struct byte_budget *budget,
                                struct handle holder);
gboolean byte_budget_may_accept (const struct byte_budget *budget);
struct handle byte_budget_to_close (const struct byte_budget *budget,
                                    gint64 now);
struct handle byte_budget_to_make_room (const struct byte_budget *budget,
                                        gint64 now);

#endif
