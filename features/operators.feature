Feature: Operators control the system with the declared document

  Background:
    Given a fleet of 2 instances with an engine and a plain service

  Scenario: A data centre out of service receives no new requests
    When data centre muc-b is taken out of service
    And 4 seconds pass
    And partner-a looks up 5 slots through each instance
    Then target b1 has received no requests since

  Scenario: A data centre put back into service receives requests again
    When data centre muc-b is taken out of service
    And data centre muc-b is put back into service
    And data centre muc-a is taken out of service
    And 4 seconds pass
    And partner-a looks up 5 slots through each instance
    Then every lookup was answered
    And target b1 has received some requests since
    And target b2 has received no requests since

  Scenario: An invalid document never comes into force
    When an invalid document is published
    And 1 seconds pass
    Then every instance reports its problems
    And partner-a is still served by each instance

  Scenario: A workspace over its plan limit is told when to retry
    When partner-b may make 1 requests a minute to bookings
    And 4 seconds pass
    And partner-b looks up 5 slots through each instance
    Then at least 1 of the lookups were refused with plan_limit and a retry time
    And partner-a is still served by each instance
