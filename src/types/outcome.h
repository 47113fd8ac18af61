#ifndef BAMBOOTALLY_OUTCOME_H
#define BAMBOOTALLY_OUTCOME_H

/* How a request ended, as far as the system can prove.  */

enum outcome
{
  OUTCOME_DONE = 0,    /* the server answered, and the answer is whole */
  OUTCOME_NOT_RUN = 1, /* proved: no server has begun to run it */
  OUTCOME_UNKNOWN = 2  /* it may have run */
};

const char *outcome_name (enum outcome outcome);

#endif
