#ifndef BAMBOOTALLY_HTTP_ANSWER_H
#define BAMBOOTALLY_HTTP_ANSWER_H

#include "edge/http.h"

/* Reads the answer to a call out of its connection's buffer.  */

enum err http_answer_read (struct http_call *call);

#endif
