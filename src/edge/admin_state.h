#ifndef BAMBOOTALLY_ADMIN_STATE_H
#define BAMBOOTALLY_ADMIN_STATE_H

#include "edge/node.h"

/* HTTP queries of operators about the state built from the log.  */

void admin_answer_config (struct node *node, struct handle request);
void admin_answer_digest (struct node *node, struct handle request);

#endif
