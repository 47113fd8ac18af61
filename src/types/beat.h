#ifndef BAMBOOTALLY_BEAT_H
#define BAMBOOTALLY_BEAT_H

#include "types/address.h"
#include "types/shard.h"

/* The heartbeat that a backend server sends at intervals, and the answer,
   which lists the key ranges that the server may hold.  */

#define BEAT_ROWS_MAX 128u /* key ranges in one heartbeat or answer */

/* A range of keys of a sharded service.  */
struct beat_row
{
  guint32 first;         /* lowest key of the range */
  guint32 last;          /* highest key of the range */
  guint64 fence;         /* fencing token it is held under; 0: released */
  char token[NAME_SIZE]; /* token that the server issued for the handover of
                            the range, or empty */
};

struct beat
{
  struct life life;        /* sender of the heartbeat */
  char service[NAME_SIZE]; /* service that the sender serves */
  struct address address;  /* address that the sender serves on */
  guint64 number;          /* rises with each heartbeat of an instance */
  guint32 slots;           /* requests that the server runs at once */
  gboolean draining;       /* the server is about to shut down */
  gint64 cold_usec;        /* microseconds until the server is warm */
  guint32 held; /* entries in held_ranges: held, or still worked on */
  struct beat_row hold[BEAT_ROWS_MAX];
  guint32 freed; /* entries in released_ranges: released since the last
                    answered heartbeat */
  struct beat_row free[BEAT_ROWS_MAX];
};

/* The answer to a heartbeat.  */
struct beat_answer
{
  gboolean renews;  /* the ranges are granted; FALSE: nothing is renewed */
  gint64 hold_usec; /* how long the ranges may be held from the sending of the
                       heartbeat on, microseconds */
  guint32 count;    /* entries in ranges, the full list for the server */
  struct beat_row row[BEAT_ROWS_MAX];
};

#endif
