#ifndef BAMBOOTALLY_JOURNAL_H
#define BAMBOOTALLY_JOURNAL_H

#include "edge/log_out.h"
#include "types/log_event.h"

/* The event log of a process: numbered events written by log4c to standard
   error or to a non-blocking output.  */

int journal_open (const char *level);
void journal_write_to (struct log_out *out);
guint64 journal_dropped (void);
void journal_note (const struct log_event *log_event);
void journal_close (void);
char *journal_format (const struct log_event *log_event);

#endif
