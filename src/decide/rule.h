#ifndef BAMBOOTALLY_RULE_H
#define BAMBOOTALLY_RULE_H

#include "types/config.h"
#include "types/reason.h"

/* Finds the routing rule that applies to a request.  */

/* Returns the value of the header NAME, or NULL.  */
typedef const char *rule_header_fn (gpointer data, const char *name);

enum reason rule_match (const struct config *config, const char *method,
                        const char *path, rule_header_fn *header,
                        gpointer data, struct request *request);

#endif
