#ifndef BAMBOOTALLY_BODY_END_H
#define BAMBOOTALLY_BODY_END_H

/* How a request body ended at the node that reads it.  */

enum body_end
{
  BODY_END_WHOLE,      /* its framing said that it is complete */
  BODY_END_BROKEN_OFF, /* its sender left or cancelled the request before */
  BODY_END_MALFORMED   /* what came in place of its rest is not valid */
};

#endif
