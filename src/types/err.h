#ifndef BAMBOOTALLY_ERR_H
#define BAMBOOTALLY_ERR_H

/* Every failure inside the system is one of these negative numbers.  */

enum err
{
  ERR_NONE = 0,
  ERR_ADDRESS = -1,        /* an address is not IP:PORT */
  ERR_CLOSED = -2,         /* the other end closed the connection */
  ERR_REFUSED = -3,        /* the connection could not be made */
  ERR_TIMEOUT = -4,        /* the deadline passed */
  ERR_MALFORMED = -5,      /* bytes that do not decode */
  ERR_TOO_LARGE = -6,      /* over a limit of size */
  ERR_UNAVAILABLE = -7,    /* a service answered that it cannot serve now */
  ERR_CONFLICT = -8,       /* another change came first */
  ERR_NOT_FOUND = -9,      /* no such thing */
  ERR_INVALID = -10,       /* checked and found wrong */
  ERR_TRUNCATED = -11,     /* a body ended before its end */
  ERR_INDETERMINATE = -12, /* an effect may have taken place, or not */
  ERR_VERSION = -13,       /* written by a later version of the system */
  ERR_IO = -14,            /* the system call failed */
  ERR_NOT_RETAINED = -15   /* no longer retained */
};

const char *err_name (enum err code);

#endif
