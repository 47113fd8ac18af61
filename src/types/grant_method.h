#ifndef BAMBOOTALLY_GRANT_METHOD_H
#define BAMBOOTALLY_GRANT_METHOD_H

/* How a backend server is told which keys it may hold.  */

enum grant_method
{
  GRANT_BY_ANSWER, /* by the answers to its heartbeats */
  GRANT_BY_CALL    /* by calls to the server */
};

#endif
