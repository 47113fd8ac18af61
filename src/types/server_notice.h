#ifndef BAMBOOTALLY_SERVER_NOTICE_H
#define BAMBOOTALLY_SERVER_NOTICE_H

#include <glib.h>

/* What a backend server says of itself in an answer.  */

enum limit_notice
{
  LIMIT_NOTICE_NONE,      /* the server names no limit */
  LIMIT_NOTICE_NAMED,     /* the server names a limit */
  LIMIT_NOTICE_UNREADABLE /* the server names a limit that is no number */
};

struct server_notice
{
  enum limit_notice limit;   /* whether the server names a limit */
  guint64 limit_milli_per_s; /* with LIMIT_NOTICE_NAMED: requests that the
                                server takes, thousandths a second */
  gboolean is_leaving;       /* the server is about to stop */
};

#endif
