#ifndef STANDIN_BACK_WORK_H
#define STANDIN_BACK_WORK_H

#include "standins/back_server.h"

/* Runs the requests of the stand-in for a backend server.  */

void back_work_begin (struct back_server *back, SoupServerMessage *message,
                      const char *path);
void back_work_received (SoupServerMessage *message, GHashTable *query);

#endif
