#ifndef BAMBOOTALLY_LOG_OUT_H
#define BAMBOOTALLY_LOG_OUT_H

#include <glib.h>

/* Lines for standard output.  They are kept in a buffer of bounded size and
   written as the output takes them, so that nothing ever waits for it; lines
   that find no room are dropped and counted.  */

struct log_out
{
  int fd;             /* where lines go */
  GByteArray *buffer; /* lines that wait */
  guint watch;        /* on room to write, 0: none */
  guint64 dropped;    /* lines that found no room */
};

void log_out_init (struct log_out *out, int fd);
void log_out_clear (struct log_out *out);
void log_out_line (struct log_out *out, const char *line);

#endif
