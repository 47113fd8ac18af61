#ifndef BAMBOOTALLY_ERR_H
#define BAMBOOTALLY_ERR_H

/* Error codes: every failure inside the system is one of these negative
   numbers.  */

enum err
{
  ERR_NONE = 0,
  ERR_ADDRESS = -1,        /* an address is not of the form IP:PORT */
  ERR_CLOSED = -2,         /* the other end closed the connection */
  ERR_REFUSED = -3,        /* the connection could not be established */
  ERR_TIMEOUT = -4,        /* the deadline passed */
  ERR_MALFORMED = -5,      /* the bytes cannot be decoded */
  ERR_TOO_LARGE = -6,      /* larger than the limit allows */
  ERR_UNAVAILABLE = -7,    /* a service answered that it is not available */
  ERR_CONFLICT = -8,       /* another change took effect first */
  ERR_NOT_FOUND = -9,      /* no such object */
  ERR_INVALID = -10,       /* a check of the input failed */
  ERR_TRUNCATED = -11,     /* a body ended early */
  ERR_INDETERMINATE = -12, /* the operation may or may not have taken effect */
  ERR_VERSION = -13,       /* written by a later version of the system */
  ERR_IO = -14,            /* a system call failed */
  ERR_NOT_RETAINED = -15   /* the offset is no longer retained */
};

const char *err_name (enum err code);

#endif
