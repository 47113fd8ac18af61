#ifndef BAMBOOTALLY_HEADERS_H
#define BAMBOOTALLY_HEADERS_H

#include "types/request.h"

#include <libsoup/soup.h>

/* Headers that callers, nodes and backend servers give meaning to.  */

#define HEADER_ID "Bambootally-Request-Id"
#define HEADER_STAMP "Bambootally-Stamp"
#define HEADER_TIMEOUT "Bambootally-Timeout-Ms"
#define HEADER_OUTCOME "Bambootally-Outcome"
#define HEADER_REASON "Bambootally-Reason"
#define HEADER_OWNER "Bambootally-Owner"
#define HEADER_FENCE "Bambootally-Fence"
#define HEADER_SLICE "Bambootally-Slice"
#define HEADER_KEY "Bambootally-Key"
#define HEADER_ATTEMPT "Bambootally-Attempt"
#define HEADER_LEASE "Bambootally-Lease-Until"

SoupMessageHeaders *headers_copy_end_to_end (SoupMessageHeaders *from);
void headers_set_number (SoupMessageHeaders *headers, const char *name,
                         gint64 value);
char *headers_format (SoupMessageHeaders *headers);
SoupMessageHeaders *headers_parse (const char *text);
char *headers_format_stamp (struct stamp stamp);
gboolean headers_parse_stamp (const char *text, struct stamp *stamp);

#endif
