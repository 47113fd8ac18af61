#ifndef BAMBOOTALLY_OPTION_H
#define BAMBOOTALLY_OPTION_H

#include "types/address.h"

#include <argp.h>

/* Command line options shared by several programs.  */

void option_address (struct argp_state *state, const char *text,
                     struct address *address);

#endif
