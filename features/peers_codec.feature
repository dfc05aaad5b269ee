Feature: messages between entry processes

  Scenario: what is written is read again, whatever its size
    Then 200 pages of results of any size are read as they were written
    And a page of a step takes two thirds of its bytes

  Scenario Outline: what is no message is refused, whoever sent it
    A process of another release, or something else at its port, answers.
    The caller takes that for no answer; nothing else breaks.

    Then <bytes> are no request and no reply

    Examples:
      | bytes                                |
      | no bytes                             |
      | bytes of an unknown first letter     |
      | compressed bytes that are cut off    |
      | compressed bytes that are no message |
      | bytes that are not compressed at all |
      | megabytes that are compressed well |
