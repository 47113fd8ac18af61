/* A node gives keys away in a map whose append is carried out late, is killed
   and starts again.  The new process does not know of that append: it grants
   the keys to its backend again, and then the map gives them to another one.
   Two backends hold the same keys.  */

#include "rig.h"

#include <signal.h>
#include <string.h>

#define ROUNDS 5
#define LATE_MIN_MS 1000    /* platform_lost, late: 1 to 6 s */
#define LATE_MAX_MS 1900
#define LATE_MEMBER_MS 4000
#define BEFORE_BEAT_MS 60 /* the map is there so long before a heartbeat */
#define BEAT_MARGIN_MS 120
#define OVERLAP_MS 500
#define CLIENTS 8
#define ROUTE                                                                 \
  "[\"r-read\",\"desk.example\",\"/desk/\",\"idempotent\",2000,500,2,null,2,"  \
  "\"desk\"]"
#define SERVICE "[\"desk\",\"/health\",110,\"h1\",false,true,5.0,\"heartbeat\"]"

enum phase
{
  QUIET, /* nothing is late */
  ARMED, /* the next map is carried out late */
  LATE,  /* it is on its way */
};

static struct node hosts[2];
static struct backend backends[2];
static volatile enum phase phase;
static volatile int64_t late_at;
static volatile bool stops;
static volatile int first_key = -1;
static int64_t overlap_since;
static int64_t longest_overlap;
static int writes;
static int late_writes;
static int served;

/* Returns for how long the map that is being appended is to be late, so that
   it is carried out between a heartbeat of i-b, whose next one is due over half
   a second later, and one of i-a.  0: there is no such time.  */
static int
choose_late_ms (int64_t now)
{
  int64_t beat_a = backends[0].last_beat_at;
  int64_t beat_b;

  for (beat_a += HEARTBEAT_MS; beat_a < now + LATE_MAX_MS + BEFORE_BEAT_MS;
       beat_a += HEARTBEAT_MS)
    {
      int64_t at = beat_a - BEFORE_BEAT_MS;
      if (at < now + LATE_MIN_MS)
        continue;
      for (beat_b = backends[1].last_beat_at + HEARTBEAT_MS; beat_b < beat_a;
           beat_b += HEARTBEAT_MS)
        if (beat_a - beat_b >= BEAT_MARGIN_MS + BEFORE_BEAT_MS
            && beat_b + HEARTBEAT_MS - beat_a >= OVERLAP_MS + BEAT_MARGIN_MS)
          return (int)(at - now);
    }
  return 0;
}

/* Makes a map late, and then the record of the node that wrote it.  */
static int
late_ms (const struct store_append_info *info)
{
  __atomic_add_fetch (&writes, 1, __ATOMIC_SEQ_CST);
  rig_record ("store gets an append key=%s at=%ld", info->key, info->at);
  if (phase == ARMED && strncmp (info->key, "map/", 4) == 0 && info->at >= 0)
    {
      int64_t now = rig_ms ();
      int late = choose_late_ms (now);
      if (late > 0)
        {
          late_at = now;
          phase = LATE;
          late_writes++;
        }
      return late;
    }
  if (phase == LATE && strcmp (info->key, "member/host-2") == 0
      && rig_ms () < late_at + 1200)
    {
      late_writes++;
      return LATE_MEMBER_MS;
    }
  return 0;
}

static void *
watch_holds (void *data)
{
  while (!stops)
    {
      int key;
      int shared = -1;
      backend_expire_holds (&backends[0]);
      backend_expire_holds (&backends[1]);
      for (key = 0; key < KEYS && shared < 0; key++)
        if (backends[0].fence[key] != 0 && backends[1].fence[key] != 0)
          shared = key;
      if (shared < 0 && overlap_since != 0)
        {
          rig_record ("no key is held twice any more, after %lld ms",
                      (long long)(rig_ms () - overlap_since));
          overlap_since = 0;
        }
      if (shared >= 0 && overlap_since == 0)
        {
          overlap_since = rig_ms ();
          rig_record ("HELD TWICE key %d, fences %llu and %llu", shared,
                      (unsigned long long)backends[0].fence[shared],
                      (unsigned long long)backends[1].fence[shared]);
        }
      if (overlap_since != 0 && rig_ms () - overlap_since > longest_overlap)
        longest_overlap = rig_ms () - overlap_since;
      rig_sleep (5);
    }
  return data;
}

static void *
run_client (void *data)
{
  unsigned draw = (unsigned)(intptr_t)data * 7919;

  while (!stops)
    {
      struct client_request request;
      char key[16];
      draw = draw * 1103515245u + 12345u;
      snprintf (key, sizeof key, "%u", (unsigned)first_key + (draw >> 16) % 64);
      client_request_init (&request, hosts[0].callers, "GET", "/desk/menu");
      request.key = key;
      if (client_send (&request).status == 200)
        served++;
      rig_sleep (40);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static const char *const names[] = { "host-1", "host-2" };
  static const char *const ids[] = { "i-a", "i-b" };
  int store_port;
  int round;
  int key;
  int i;

  rig_init (argc, argv);
  store_port = rig_free_port ();
  store_late_ms = late_ms;
  store_start (store_port);
  operator_put (1, ROUTE, SERVICE);
  for (i = 0; i < 2; i++)
    {
      node_init (&hosts[i], names[i], "desk", store_port);
      node_start (&hosts[i]);
      backend_init (&backends[i], ids[i], "desk", &hosts[i], 6,
                    i == 0 ? 20 : 200);
      backends[i].sharded = true;
      backend_start (&backends[i]);
    }
  for (i = 0; i < 2; i++)
    node_wait_ready (&hosts[i], 10000);
  rig_sleep (5000);
  for (key = 0; key < KEYS && first_key < 0; key++)
    if (backends[1].fence[key] != 0)
      first_key = key;
  if (first_key < 0)
    rig_fail ("i-b holds no keys");
  rig_thread (watch_holds, NULL);
  for (i = 0; i < CLIENTS; i++)
    rig_thread (run_client, (void *)(intptr_t)i);
  for (round = 0; round < ROUNDS && longest_overlap <= OVERLAP_MS; round++)
    {
      int64_t until = rig_ms () + 8000;
      if (rig_trouble)
        phase = ARMED;
      while (rig_ms () < until && phase != LATE)
        rig_sleep (2);
      if (phase != LATE)
        continue;
      rig_sleep_until (late_at + 50);
      node_kill (&hosts[1], SIGKILL);
      rig_sleep_until (late_at + 450);
      node_start (&hosts[1]);
      rig_sleep_until (late_at + 9000);
      phase = QUIET;
      /* The next round's keys.  */
      for (key = 0, i = -1; key < KEYS && i < 0; key++)
        if (backends[1].fence[key] != 0)
          i = key;
      if (i >= 0)
        first_key = i;
    }
  stops = true;
  rig_sleep (2500);
  if (served == 0)
    rig_fail ("nothing was served");
  rig_record ("served %d, writes %d, late %d, longest overlap %lld ms", served,
              writes, late_writes, (long long)longest_overlap);
  printf ("longest time for which two backends held a key: %lld ms\n",
          (long long)longest_overlap);
  rig_end (longest_overlap > OVERLAP_MS ? 1 : 0);
}
