#ifndef BAMBOOTALLY_LIMITS_H
#define BAMBOOTALLY_LIMITS_H

/* Sizes that more than one module relies on.  */

#define NAME_SIZE 64u            /* bytes in a name, with the final zero */
#define KEY_SIZE 128u            /* bytes in a key, with the final zero */
#define REQUEST_ID_SIZE 64u      /* bytes in a request id, with the zero */
#define PATH_SIZE 1024u          /* bytes in a request's path */
#define WITNESS_MAX 5u           /* witnesses a node may have */
#define SUCCESSOR_MAX 2u         /* successors a slice may have */
#define RECORD_BYTES_MAX 262144u /* bytes in one record of the log */
#define BODY_CHUNK_BYTES 16384u  /* bytes of a body moved at a time */
#define BODY_QUEUE_BYTES 65536u  /* bytes of one body held in a process */
#define USEC_PER_MSEC 1000       /* microseconds in a millisecond */
#define USEC_PER_SEC 1000000     /* microseconds in a second */

#endif
