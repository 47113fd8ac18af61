#ifndef BAMBOOTALLY_HEARTBEAT_H
#define BAMBOOTALLY_HEARTBEAT_H

#include "types/address.h"
#include "types/shard.h"

/* The heartbeat that a backend server sends at intervals, and the answer,
   which lists the key ranges that the server may hold.  A heartbeat lists as
   many ranges as the server has: it may still run requests of ranges that the
   answer does not list any more.  */

#define ANSWER_RANGES_MAX 128u /* key ranges in one answer */

/* A range of keys of a sharded service.  */
struct key_range
{
  guint32 first; /* lowest key of the range */
  guint32 last;  /* highest key of the range */
  /* fence that the range is held under; 0: the range is released */
  guint64 fence;
  /* token that the previous holder passes to the next one, or empty */
  char handover_token[HANDOVER_TOKEN_SIZE];
};

struct heartbeat
{
  struct server_instance instance; /* sender of the heartbeat */
  char service[NAME_SIZE];         /* service that the sender serves */
  struct address address;          /* address that the sender serves on */
  guint64 sequence;   /* rises with each heartbeat of an instance */
  guint32 slots;      /* requests that the server runs at once */
  gboolean draining;  /* the server is about to shut down */
  gint64 warmup_usec; /* microseconds until the server is warm */
  guint32 held_count; /* entries in held_ranges: ranges that the server holds,
                         or still runs requests of */
  struct key_range *held_ranges;
  guint32 released_count; /* entries in released_ranges: ranges released since
                             the last answered heartbeat */
  struct key_range *released_ranges;
  guint32 unusable_tokens; /* handover tokens that are too long to be kept */
};

/* The answer to a heartbeat.  */
struct heartbeat_answer
{
  /* the server may hold the ranges; FALSE: no grant is renewed */
  gboolean renews_grant;
  gint64 grant_usec; /* duration of the grant from the sending of the heartbeat
                        on, microseconds */
  guint32 range_count; /* entries in ranges, which lists all ranges that the
                          server may hold */
  struct key_range ranges[ANSWER_RANGES_MAX];
};

void heartbeat_clear (struct heartbeat *heartbeat);

#endif
