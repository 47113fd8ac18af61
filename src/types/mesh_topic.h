#ifndef BAMBOOTALLY_MESH_TOPIC_H
#define BAMBOOTALLY_MESH_TOPIC_H

/* The topics of the store that a node of a mesh reads.  */

enum mesh_topic
{
  MESH_TOPIC_FLEET, /* members, shard maps and suspects */
  MESH_TOPIC_CONFIG /* configurations of the operator */
};

#define MESH_TOPICS 2u

const char *mesh_topic_name (enum mesh_topic topic);

#endif
