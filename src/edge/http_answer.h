#ifndef BAMBOOTALLY_HTTP_ANSWER_H
#define BAMBOOTALLY_HTTP_ANSWER_H

#include "edge/http.h"

/* Parses the response to a call from the bytes received on its connection.  */

enum err http_answer_read (struct http_call *call);

#endif
