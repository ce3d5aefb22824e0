"""A digest of revisions that is updated incrementally."""

import xxhash

__all__ = ["BUCKETS", "RevisionDigest", "bucket_of"]

#: Number of buckets, groups of subtrees whose revisions are compared separately.  With
#: 32 buckets two nodes that differ in one of 195 subtrees exchange 170 bytes of bucket
#: values and six revisions, 200 bytes, instead of all 195 revisions, 6 kB.  With 1,100
#: subtrees a bucket holds 34.
BUCKETS = 32

#: Bucket values have 32 bits and take five bytes each on the wire.  If two buckets
#: collide, the whole values still differ, which reveals the collision.
BUCKET_MASK = 0xFFFFFFFF

#: The whole value has 63 bits, since it is encoded as a signed integer.
WHOLE_MASK = 0x7FFFFFFFFFFFFFFF


class RevisionDigest:
    """Combine a hash of each path and its revision by exclusive or, in total and by bucket.

    Notes
    -----
    A digest over the sorted list of all revisions would have to be recomputed at each
    change.  While a fleet of hundreds of hosts is replaced one by one, each node would
    hash the whole list once per host, which is quadratic in the size of the fleet.
    Exclusive or is commutative and its own inverse, so a change removes the hash of
    the old revision and adds that of the new one.
    """

    def __init__(self):
        self._whole = 0
        self._buckets = [0] * BUCKETS

    @property
    def value(self):
        """The digest of all revisions, equal on nodes that hold the same revisions."""
        return self._whole & WHOLE_MASK

    @property
    def buckets(self):
        """The digests of the buckets, a list."""
        return [value & BUCKET_MASK for value in self._buckets]

    def change(self, path, old, new):
        """Replace revision `old` of `path` with `new`; a negative revision stands for none."""
        bucket = bucket_of(path)
        for revision in (old, new):
            if revision >= 0:
                number = xxhash.xxh3_64_intdigest(f"{revision} {path}".encode())
                self._whole ^= number
                self._buckets[bucket] ^= number


def bucket_of(path):
    """Return the index of the bucket that `path` belongs to."""
    return xxhash.xxh3_64_intdigest(path.encode()) % BUCKETS
