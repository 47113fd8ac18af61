#ifndef BAMBOOTALLY_OUTCOME_H
#define BAMBOOTALLY_OUTCOME_H

/* How a request ended, as far as the system can prove.  */

enum outcome
{
  OUTCOME_DONE = 0,    /* the server answered, and the answer is complete */
  OUTCOME_NOT_RUN = 1, /* proved that no server started to run the request */
  OUTCOME_UNKNOWN = 2  /* the request may have been run */
};

const char *outcome_name (enum outcome outcome);

#endif
