#include "tool/option.h"

/* Read IP:PORT from TEXT into ADDRESS; end the program with its usage if it is
   anything else.  */
void
option_address (struct argp_state *state, const char *text,
                struct address *address)
{
  if (address_parse (text, address) != ERR_NONE)
    argp_error (state, "not an address: %s", text);
}
