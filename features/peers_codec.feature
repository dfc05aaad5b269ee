Feature: encoding of messages between entry processes

  Scenario: encoded messages of any size are decoded unchanged
    Then 200 pages of results of any size are decoded as they were encoded
    And a page of results is compressed to two thirds of its size

  Scenario Outline: malformed messages are rejected by both decoders
    Guards against bytes that a process of another release, or another
    program at the port of an entry, sends as a reply. The caller treats them
    as a missing reply, and nothing else fails.

    Then <bytes> are rejected as a request and as a reply

    Examples:
      | bytes                                |
      | no bytes                             |
      | bytes of an unknown first letter     |
      | compressed bytes that are cut off    |
      | compressed bytes that are no message |
      | bytes that are not compressed at all |
      | megabytes that are compressed well   |
