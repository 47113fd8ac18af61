#ifndef SOAK_ANSWER_H
#define SOAK_ANSWER_H

#include <libsoup/soup.h>

/* The answers of the stand-in for the store; RECORDS are GBytes with the key
   in front.  */

void soak_answer_json (SoupServerMessage *message, guint status, char *text);
void soak_answer_records (SoupServerMessage *message, const GPtrArray *records,
                          guint64 from);
void soak_answer_newest (SoupServerMessage *message, const GPtrArray *records);

#endif
