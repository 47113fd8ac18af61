#ifndef BAMBOOTALLY_ADMIN_STATE_H
#define BAMBOOTALLY_ADMIN_STATE_H

#include "edge/node.h"

/* Operators' questions about what the log adds up to.  */

void admin_answer_config (struct node *node, SoupServerMessage *message);
void admin_answer_digest (struct node *node, SoupServerMessage *message);

#endif
