#ifndef BAMBOOTALLY_QUIET_TURN_H
#define BAMBOOTALLY_QUIET_TURN_H

#include <glib.h>

/* A call in the next turn of the main loop in which no input was ready.
   Nothing else is handled after it in that turn, so what it decides from the
   state at that time is not undone by input that arrived before.  */

typedef void quiet_turn_fn (gpointer data);

struct quiet_turn
{
  guint source;      /* source id of the call, 0: none is due */
  quiet_turn_fn *fn; /* function that is called */
  gpointer data;     /* passed to it */
};

void quiet_turn_request (struct quiet_turn *turn, quiet_turn_fn *fn,
                         gpointer data);
void quiet_turn_cancel (struct quiet_turn *turn);

#endif
