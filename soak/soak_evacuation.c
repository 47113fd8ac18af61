#include "soak/soak_evacuation.h"
#include "soak/soak_config.h"

#include "platform/evacuation.h"
#include "platform/store.h"
#include "types/limits.h"

#define BOUND_USEC ((gint64)5000000) /* until an evacuation is in force */
#define BEGIN_PERCENT 1              /* share of steps that begin one */
#define SHORTEST_MSEC 4000
#define LONGEST_MSEC 14000

/* Nodes are told of an evacuation by this long after the store answers
   again.  */
#define READ_AGAIN_USEC ((gint64)2500000)

/* Initialise EVACUATION; evacuations are drawn from SEED.  */
void
soak_evacuation_init (struct soak_evacuation *evacuation, guint32 seed)
{
  *evacuation = (struct soak_evacuation){ 0 };
  evacuation->random = g_rand_new_with_seed (seed);
}

/* Release what EVACUATION holds.  */
void
soak_evacuation_clear (struct soak_evacuation *evacuation)
{
  g_rand_free (evacuation->random);
}

/* Write the record of the data centre with VALUE; an empty one ends the
   evacuation.  */
static void
write_record (const struct soak_evacuation *evacuation,
              struct soak_store *store, const char *value)
{
  char key[NAME_SIZE];

  g_snprintf (key, sizeof key, "%szone-%u" SOAK_NAME_END,
              PLATFORM_EVACUATION_PREFIX, evacuation->zone);
  soak_store_put (store, STORE_TOPIC_CONFIG, key, value);
}

/* Evacuate a random data centre at the time NOW.  */
static void
begin (struct soak_evacuation *evacuation, struct soak_store *store,
       gint64 now)
{
  evacuation->zone
      = (guint)g_rand_int_range (evacuation->random, 0, (gint32)SOAK_ZONES);
  evacuation->acked_at = now;
  evacuation->ends_at = now
                        + (gint64)g_rand_int_range (
                              evacuation->random, SHORTEST_MSEC, LONGEST_MSEC)
                              * USEC_PER_MSEC;
  evacuation->count++;
  write_record (evacuation, store, "{}");
}

/* End the evacuation, if there is one.  */
void
soak_evacuation_end (struct soak_evacuation *evacuation,
                     struct soak_store *store)
{
  if (evacuation->acked_at == 0)
    return;
  evacuation->acked_at = 0;
  write_record (evacuation, store, "");
}

/* Begin an evacuation now and then if MAY_BEGIN, and end it when its time has
   come.  */
void
soak_evacuation_step (struct soak_evacuation *evacuation,
                      struct soak_store *store, gboolean may_begin, gint64 now)
{
  if (store->mode == SOAK_STORE_UNAVAILABLE
      || store->mode == SOAK_STORE_UNRESPONSIVE)
    evacuation->unread_until = now + READ_AGAIN_USEC;
  if (evacuation->acked_at != 0 && now >= evacuation->ends_at)
    soak_evacuation_end (evacuation, store);
  else if (evacuation->acked_at == 0 && may_begin
           && g_rand_int_range (evacuation->random, 0, 100) < BEGIN_PERCENT)
    begin (evacuation, store, now);
}

/* Process that the store came back from a copy made at COPIED_AT, and that the
   operator writes again at REWRITE_AT: a record that is lost is not in force
   until then.  */
void
soak_evacuation_on_rollback (struct soak_evacuation *evacuation,
                             gint64 copied_at, gint64 rewrite_at)
{
  if (evacuation->acked_at > copied_at)
    evacuation->acked_at = rewrite_at;
}

/* Write the last record again at NOW, as the operator does after a rollback of
   the store.  */
void
soak_evacuation_rewrite (struct soak_evacuation *evacuation,
                         struct soak_store *store, gint64 now)
{
  if (evacuation->count == 0)
    return;
  write_record (evacuation, store, evacuation->acked_at != 0 ? "{}" : "");
  if (evacuation->acked_at > now)
    evacuation->acked_at = now;
}

/* Check the request ID, which arrived at a server in data centre ZONE at the
   time NOW.  Until EXCUSED_UNTIL requests may have been held up on their way
   to the server.  */
void
soak_evacuation_on_arrival (const struct soak_evacuation *evacuation,
                            struct soak_checker *checker, guint zone,
                            gint64 excused_until, const char *id, gint64 now)
{
  if (evacuation->acked_at == 0 || zone != evacuation->zone
      || now - evacuation->acked_at < BOUND_USEC || now < excused_until
      || now < evacuation->unread_until)
    return;
  soak_checker_violation (checker, "an evacuated server gets no requests", id);
}
