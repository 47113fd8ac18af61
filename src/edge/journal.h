#ifndef BAMBOOTALLY_JOURNAL_H
#define BAMBOOTALLY_JOURNAL_H

#include "types/note.h"

/* The log file of a node: numbered events through log4c, on standard error. */

int journal_open (const char *level);
void journal_note (const struct note *note);
void journal_close (void);
char *journal_format (const struct note *note);

#endif
