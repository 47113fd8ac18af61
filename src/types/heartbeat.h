#ifndef BAMBOOTALLY_HEARTBEAT_H
#define BAMBOOTALLY_HEARTBEAT_H

#include "types/address.h"
#include "types/shard.h"

/* What a backend server says of itself every so often, and what it is told to
   hold in return.  */

#define HEARTBEAT_RANGES_MAX 128u /* ranges in one beat or answer */

/* A range of keys.  */
struct key_range
{
  guint32 first; /* lowest key */
  guint32 last;  /* highest key */
  guint64 fence; /* under which it is held; 0 where it was freed */
  char handover_token[NAME_SIZE]; /* handover token, or empty */
};

struct heartbeat
{
  struct server_instance instance; /* who speaks */
  char service[NAME_SIZE];         /* its service */
  struct address address;          /* where it serves */
  guint64 sequence;                /* rises with each beat of a life */
  guint32 slots;                   /* requests that it runs at once */
  gboolean draining;               /* it is about to leave */
  gint64 warmup_usec;              /* it is slow for so long yet */
  guint32 held_count;              /* ranges it holds or still works on */
  struct key_range held_ranges[HEARTBEAT_RANGES_MAX];
  guint32 released_count; /* ranges given up since the last answered beat */
  struct key_range released_ranges[HEARTBEAT_RANGES_MAX];
};

/* The answer to a beat.  */
struct heartbeat_answer
{
  gboolean renews_grant; /* the rows count; else nothing is renewed */
  gint64 grant_usec;   /* how long they may be held, from the beat's sending */
  guint32 range_count; /* all that the server is to hold */
  struct key_range ranges[HEARTBEAT_RANGES_MAX];
};

#endif
