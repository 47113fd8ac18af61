#ifndef BAMBOOTALLY_READING_DUTY_H
#define BAMBOOTALLY_READING_DUTY_H

#include "types/reading_claim.h"

/* The duty of reading a topic for the whole fleet.  A node holds it by
   reading: each read that the store answers renews the duty, and one that it
   does not answer ends it.  A duty that nobody is known to hold is vacant; the
   first node whose read is answered then takes it.  So the duty is always at a
   node that the store serves, whatever its name.  */

/* A duty that was not renewed for this long is vacant.  The time covers the
   longest interval between two reads and the way of the word of a read through
   the fleet.  */
#define READING_DUTY_USEC ((gint64)2000000)

struct reading_duty
{
  guint64 reader;      /* process that holds the duty, 0: none is known */
  guint32 round;       /* number of its last read */
  gint64 renewed_at;   /* when that read ended, as far as known here */
  gboolean given_up;   /* it has given the duty up */
  gint64 taken_at;     /* when this node took the duty */
  gint64 vacant_since; /* when this node found the duty vacant, 0: it is not */
};

gboolean reading_duty_is_held (const struct reading_duty *duty, gint64 now);
gboolean reading_duty_is_held_by (const struct reading_duty *duty,
                                  guint64 process, gint64 now);
void reading_duty_check (struct reading_duty *duty, gboolean is_held,
                         gint64 now);
void reading_duty_renew (struct reading_duty *duty, guint64 self,
                         guint32 round, gint64 now);
gboolean reading_duty_give_up (struct reading_duty *duty, guint64 self);
gboolean reading_duty_hear (struct reading_duty *duty,
                            const struct reading_claim *claim, guint64 self,
                            gint64 now);
struct reading_claim reading_duty_claim (const struct reading_duty *duty,
                                         gint64 now);

#endif
