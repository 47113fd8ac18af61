#ifndef BAMBOOTALLY_BEAT_H
#define BAMBOOTALLY_BEAT_H

#include "types/address.h"
#include "types/shard.h"

/* What a backend server says of itself every so often, and what it is told to
   hold in return.  */

#define BEAT_ROWS_MAX 128u /* ranges in one beat or answer */

/* A range of keys.  */
struct beat_row
{
  guint32 first;         /* lowest key */
  guint32 last;          /* highest key */
  guint64 fence;         /* under which it is held; 0 where it was freed */
  char token[NAME_SIZE]; /* handover token, or empty */
};

struct beat
{
  struct life life;        /* who speaks */
  char service[NAME_SIZE]; /* its service */
  struct address address;  /* where it serves */
  guint64 number;          /* rises with each beat of a life */
  guint32 slots;           /* requests that it runs at once */
  gboolean draining;       /* it is about to leave */
  gint64 cold_usec;        /* it is slow for so long yet */
  guint32 held;            /* ranges it holds or still works on */
  struct beat_row hold[BEAT_ROWS_MAX];
  guint32 freed; /* ranges given up since the last answered beat */
  struct beat_row free[BEAT_ROWS_MAX];
};

/* The answer to a beat.  */
struct beat_answer
{
  gboolean renews;  /* the rows count; else nothing is renewed */
  gint64 hold_usec; /* how long they may be held, from the beat's sending */
  guint32 count;    /* all that the server is to hold */
  struct beat_row row[BEAT_ROWS_MAX];
};

#endif
