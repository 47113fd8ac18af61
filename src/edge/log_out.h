#ifndef BAMBOOTALLY_LOG_OUT_H
#define BAMBOOTALLY_LOG_OUT_H

#include <glib.h>

/* Non-blocking output of log lines.  Lines are kept in a buffer of bounded
   size and written when the descriptor is writable, so that the main loop
   never waits for it; lines that exceed the buffer are dropped and
   counted.  */

struct log_out
{
  int fd;             /* descriptor that lines are written to */
  GByteArray *buffer; /* lines not written yet */
  guint watch;        /* source id of the wait for writability, 0: none */
  guint64 dropped;    /* lines dropped because the buffer was full */
};

void log_out_init (struct log_out *out, int fd);
void log_out_clear (struct log_out *out);
void log_out_line (struct log_out *out, const char *line);

#endif
