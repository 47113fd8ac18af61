#include "tool/option.h"

/* Parses TEXT as IP:PORT into ADDRESS.  Ends the program with a usage message
   for any other text.  */
void
option_address (struct argp_state *state, const char *text,
                struct address *address)
{
  if (address_parse (text, address) != ERR_NONE)
    argp_error (state, "invalid address: %s (expected IP:PORT)", text);
}
