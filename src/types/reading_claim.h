#ifndef BAMBOOTALLY_READING_CLAIM_H
#define BAMBOOTALLY_READING_CLAIM_H

#include <glib.h>

/* What a node knows of the one that holds a duty of reading, as nodes tell one
   another.  */

struct reading_claim
{
  guint64 reader;    /* process that holds the duty, 0: none is known */
  guint32 round;     /* number of its last read; rises with each */
  guint32 age_msec;  /* time since that read ended */
  gboolean given_up; /* it has given the duty up */
};

#endif
